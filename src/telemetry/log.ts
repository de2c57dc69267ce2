/** JSON lines logging, based on consola. */
import { createConsola } from "consola";

import { LogRateLimiter } from "./logRateLimiter.js";
import type { LineWriter } from "./lineWriter.js";

/** Additional fields of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Logger interface. */
export interface Log {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

export const LOG_LEVELS = ["error", "warn", "info", "debug"] as const;

export type LogLevel = (typeof LOG_LEVELS)[number];

const CONSOLA_LEVEL: Record<LogLevel, number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

export interface LogOptions {
  level: LogLevel;
  /** Process name, written on each line. */
  process: string;
  writer: LineWriter;
  now: () => number;
}

/** Rate limit key of a line: its message and its outcome or phase. */
const lineKind = (message: string, fields: LogFields | undefined): string =>
  `${message} ${fields?.outcome ?? fields?.phase ?? ""}`.trim();

/** Creates a logger that writes JSON lines, rate-limited by kind of line. */
export const createLog = (options: LogOptions): Log => {
  const { level, process, writer, now } = options;
  const limiter = new LogRateLimiter();
  const consola = createConsola({
    level: CONSOLA_LEVEL[level],
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          const [message, fields] = entry.args as [string, LogFields?];
          const time = entry.date.toISOString();
          const head = { time, level: entry.type, process };
          writer.line(JSON.stringify({ ...head, message, ...fields }));
          for (const { kind, count } of limiter.report(now())) {
            const note = { ...head, message: "lines omitted", kind, count };
            writer.line(JSON.stringify(note));
          }
        },
      },
    ],
  });
  const bounded =
    (write: typeof consola.info, rank: number) =>
    (message: string, fields?: LogFields): void => {
      if (rank > CONSOLA_LEVEL[level]) return;
      if (limiter.take(lineKind(message, fields), now()))
        write(message, fields);
    };
  return {
    info: bounded(consola.info, CONSOLA_LEVEL.info),
    warn: bounded(consola.warn, CONSOLA_LEVEL.warn),
    error: bounded(consola.error, CONSOLA_LEVEL.error),
    debug: bounded(consola.debug, CONSOLA_LEVEL.debug),
  };
};
