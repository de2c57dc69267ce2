#!/usr/bin/env node
/** Entry point of the `snowgated` daemon; the settings determine its role. */
import { cac } from "cac";

import { loadSettings } from "../settings/index.js";
import type { Settings } from "../settings/index.js";
import { settingsReference } from "../settings/reference.js";
import { errText } from "../shared/utils.js";
import { createRuntime } from "./runtime.js";
import { runUntilStopped } from "./stopSignals.js";
import type { Daemon } from "./types.js";

const EXIT_BAD_SETTINGS = 2;
const EXIT_START_FAILED = 1;

interface Flags {
  settings?: string;
  check?: boolean;
  reference?: boolean;
}

/** Loads only the code of the role, to keep the memory use of a side small. */
const start = async (settings: Settings): Promise<Daemon> => {
  const runtime = createRuntime(settings);
  switch (settings.role) {
    case "entry": {
      const { startEntry } = await import("../entry/entryDaemon.js");
      return startEntry(runtime, settings);
    }
    case "side": {
      const { startSide } = await import("../side/sideDaemon.js");
      return startSide(runtime, settings);
    }
  }
};

const fail = (code: number, err: unknown): never => {
  process.stderr.write(`snowgated: ${errText(err)}\n`);
  process.exit(code);
};

const run = async (flags: Flags): Promise<void> => {
  if (flags.reference) {
    process.stdout.write(settingsReference());
    return;
  }
  if (typeof flags.settings !== "string") {
    fail(EXIT_BAD_SETTINGS, "--settings FILE is needed; see --help");
  }
  let settings: Settings;
  try {
    settings = loadSettings(flags.settings as string);
  } catch (err) {
    return fail(EXIT_BAD_SETTINGS, err);
  }
  if (flags.check) {
    process.stdout.write("settings are valid\n");
    return;
  }
  try {
    const daemon = await start(settings);
    runUntilStopped(daemon);
    process.stdout.write(`${JSON.stringify(daemon.addresses)}\n`);
  } catch (err) {
    fail(EXIT_START_FAILED, err);
  }
};

const cli = cac("snowgated");
cli
  .command("", "Run one process of the system")
  .option("--settings <file>", "YAML settings of this process")
  .option("--check", "Check the settings and exit")
  .option("--reference", "Print every setting and exit")
  .example("snowgated --settings entry.yaml")
  .action((flags: Flags) => run(flags));
cli.help();
try {
  cli.parse();
} catch (err) {
  fail(EXIT_BAD_SETTINGS, err);
}
