/** JSON-line logs through consola. */
import { createConsola } from "consola";

/** Fields of a log line besides its message. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** What the rest of the system uses to log. */
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

/** A logger that writes one JSON object a line to standard error. */
export const createLog = (level: LogLevel, process_: string): Log => {
  const consola = createConsola({
    level: CONSOLA_LEVEL[level],
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          const [message, fields] = entry.args as [string, LogFields?];
          const line = {
            time: entry.date.toISOString(),
            level: entry.type,
            process: process_,
            message,
            ...fields,
          };
          process.stderr.write(`${JSON.stringify(line)}\n`);
        },
      },
    ],
  });
  return {
    info: (message, fields) => consola.info(message, fields),
    warn: (message, fields) => consola.warn(message, fields),
    error: (message, fields) => consola.error(message, fields),
    debug: (message, fields) => consola.debug(message, fields),
  };
};
