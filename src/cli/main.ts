#!/usr/bin/env node
/** `snowgate`: the operators' command line. */
import { userInfo } from "node:os";
import { cac } from "cac";

import { ACTIONS } from "../operator/actions/index.js";
import type { OperatorAnswer } from "../operator/operatorServer.js";
import { readText } from "../settings/index.js";
import { errText } from "../shared/utils.js";
import { sendToEntry } from "./operatorClient.js";
import type { OperatorTarget } from "./operatorClient.js";
import { renderSyntax, renderTable } from "./render.js";
import { buildRetryReport, renderRetryReport } from "./retryReport.js";
import { buildStory, parseLog, renderStory } from "./requestStory.js";
import type { LogLine } from "./requestStory.js";

/** Exit codes that scripts can rely on. */
const EXIT = {
  ok: 0,
  /** Refused, or in conflict with another operator's command. */
  refused: 1,
  /** The statement or the file is invalid. */
  usage: 2,
  /** No entry responded, or it could not execute the command now. */
  unreachable: 3,
  unauthorized: 4,
} as const;

const WATCH_PERIOD_MS = 200;
const MS_PER_SECOND = 1000;

interface Flags {
  entry?: string;
  token?: string;
  as?: string;
  json?: boolean;
}

interface RetryFlags {
  json?: boolean;
  ratio: unknown;
  burst: unknown;
  window: unknown;
}

const targetOf = (flags: Flags): OperatorTarget => {
  const entry = flags.entry ?? process.env.SNOWGATE_ENTRY;
  if (entry === undefined) {
    throw new TypeError("--entry IP:port or SNOWGATE_ENTRY is needed");
  }
  return {
    entry,
    token: flags.token ?? process.env.SNOWGATE_TOKEN ?? "",
    operator: flags.as ?? userInfo().username,
  };
};

const print = (text: string): void => void process.stdout.write(`${text}\n`);
const printError = (text: string): void =>
  void process.stderr.write(`${text}\n`);

/** Prints a response and returns its exit code. */
const show = (
  answer: OperatorAnswer,
  statement: string,
  isJson: boolean,
): number => {
  if (isJson) print(JSON.stringify(answer));
  switch (answer.kind) {
    case "table":
      if (!isJson) print(renderTable(answer.columns, answer.rows));
      return EXIT.ok;
    case "message":
      if (!isJson) print(answer.text);
      return EXIT.ok;
    case "refused":
      printError(answer.text);
      return EXIT.refused;
    case "syntax":
      printError(renderSyntax(statement, answer.text, answer.at));
      return EXIT.usage;
    case "unauthorized":
      printError(answer.text);
      return EXIT.unauthorized;
    case "failed":
      printError(answer.text);
      return EXIT.unreachable;
  }
};

const runCommand = async (work: () => Promise<number>): Promise<void> => {
  try {
    process.exitCode = await work();
  } catch (err) {
    printError(`snowgate: ${errText(err)}`);
    const isUsage = err instanceof TypeError;
    process.exitCode = isUsage ? EXIT.usage : EXIT.unreachable;
  }
};

const runStatement = (words: string[], flags: Flags) =>
  runCommand(async () => {
    const statement = words.join(" ");
    if (statement === "") throw new TypeError("a statement is needed");
    const answer = await sendToEntry(targetOf(flags), "/command", statement);
    return show(answer, statement, flags.json ?? false);
  });

/** Reads a file; a failure throws a TypeError, which is a usage error. */
const readFile = (file: string): string => {
  try {
    return readText(file);
  } catch (err) {
    throw new TypeError(errText(err));
  }
};

const runApply = (file: string, flags: Flags) =>
  runCommand(async () => {
    const text = readFile(file);
    const answer = await sendToEntry(targetOf(flags), "/config", text);
    if (answer.kind !== "syntax") {
      return show(answer, "", flags.json ?? false);
    }
    printError(answer.text.replaceAll("configuration:", `${file}:`));
    return EXIT.usage;
  });

/** Waits until the latest order of an upstream is finished. */
const runWatch = (upstream: string, flags: Flags) =>
  runCommand(async () => {
    const target = targetOf(flags);
    const statement = `show engines where upstream = ${upstream}`;
    for (;;) {
      const answer = await sendToEntry(target, "/command", statement);
      if (answer.kind !== "table") return show(answer, statement, false);
      const [row] = answer.rows;
      if (row === undefined) throw new TypeError(`no upstream ${upstream}`);
      const order = String(row.order ?? "");
      if (!order.endsWith(" open")) {
        print(order === "" ? `${upstream} has no order` : order);
        return order.endsWith(" failed") ? EXIT.refused : EXIT.ok;
      }
      await new Promise((resolve) => setTimeout(resolve, WATCH_PERIOD_MS));
    }
  });

const readLogs = (files: string[]): LogLine[] => {
  if (files.length === 0) throw new TypeError("a log file is needed");
  const logs = files.map((file) => parseLog(readFile(file)));
  const unreadable = logs.reduce((sum, log) => sum + log.unreadable, 0);
  if (unreadable > 0) printError(`${unreadable} lines can't be read`);
  return logs.flatMap((log) => log.lines);
};

/** Prints the log lines of a request, collected from several log files. */
const runStory = (requestId: string, files: string[], flags: Flags) =>
  runCommand(async () => {
    const lines = readLogs(files);
    const story = buildStory(lines, requestId);
    if (story.own.length === 0) {
      printError(`no line names request ${requestId}`);
      return EXIT.refused;
    }
    print(flags.json ? JSON.stringify(story) : renderStory(story));
    return EXIT.ok;
  });

const positiveNumber = (name: string, value: unknown): number => {
  const number = Number(value);
  if (Number.isFinite(number) && number > 0) return number;
  throw new TypeError(`--${name} must be a number above 0`);
};

/** Prints the window in which each service got most of its retries. */
const runRetries = (files: string[], flags: RetryFlags) =>
  runCommand(async () => {
    const limits = {
      ratio: positiveNumber("ratio", flags.ratio),
      burst: positiveNumber("burst", flags.burst),
      windowMs: positiveNumber("window", flags.window) * MS_PER_SECOND,
    };
    const report = buildRetryReport(readLogs(files), limits);
    if (flags.json) print(JSON.stringify(Object.fromEntries(report)));
    else print(renderRetryReport(report));
    return EXIT.ok;
  });

const cli = cac("snowgate");
cli.option("--entry <address>", "Operators' address of an entry, IP:port");
cli.option("--token <token>", "Operator token (or SNOWGATE_TOKEN)");
cli.option("--as <name>", "Name under which orders are given");
cli.option("--json", "Print JSON for programs");
cli
  .command("apply <file>", "Put a configuration into force")
  .action((file: string, flags: Flags) => runApply(file, flags));
cli
  .command("watch <upstream>", "Wait until the upstream's order is finished")
  .action((upstream: string, flags: Flags) => runWatch(upstream, flags));
cli
  .command("story <request-id> [...files]", "Tell a request's story from logs")
  .action((requestId: string, files: string[], flags: Flags) =>
    runStory(requestId, files, flags),
  );
cli
  .command("retries [...files]", "Show most retries of a window from logs")
  .option("--ratio <n>", "Retries allowed per request", { default: 0.2 })
  .option("--burst <n>", "Retries allowed besides", { default: 64 })
  .option("--window <s>", "Length of a window", { default: 10 })
  .action((files: string[], flags: RetryFlags) => runRetries(files, flags));
cli
  .command("[...statement]", "Run one statement of the language")
  .action((words: string[], flags: Flags) => runStatement(words, flags));
for (const { example } of ACTIONS) cli.example(`snowgate ${example}`);
cli.help((sections) => [
  ...sections,
  {
    title: "Statements",
    body: ACTIONS.map((action) => `  ${action.usage}`).join("\n"),
  },
  {
    title: "Exit codes",
    body: Object.entries(EXIT)
      .map(([name, code]) => `  ${code}  ${name}`)
      .join("\n"),
  },
]);
try {
  cli.parse();
} catch (err) {
  printError(`snowgate: ${errText(err)}`);
  process.exitCode = EXIT.usage;
}
