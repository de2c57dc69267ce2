/**
 * Runs every compiled test and ends with "N passed, N failed". Failures that
 * KNOWN-RED.txt names are printed and do not fail the run; one of those that
 * passes does, so that the list stays true.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import Mocha from "mocha";

import { DIST, stopAll } from "./processes.js";

const TIMEOUT_MS = 60_000;
/** Tests slower than this are shown with their time. */
const SLOW_MS = 3000;
const MAX_KNOWN_RED = 3;
const KNOWN_RED_FILE = path.resolve(DIST, "../KNOWN-RED.txt");

const knownRed = (): string[] => {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
  return lines
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => (line.split(";")[0] ?? "").trim());
};

const testFiles = (folder: string): string[] =>
  readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".test.js"))
    .map((file) => path.join(folder, file))
    .sort();

const run = async (): Promise<number> => {
  const mocha = new Mocha({ timeout: TIMEOUT_MS, slow: SLOW_MS });
  const only = process.argv[2];
  const folders = ["tests", "platform/tests"];
  const files = folders.flatMap((name) => testFiles(path.join(DIST, name)));
  for (const file of files) {
    if (only === undefined || file.includes(only)) mocha.addFile(file);
  }
  if (process.argv[3] !== undefined) mocha.fgrep(process.argv[3]);
  await mocha.loadFilesAsync();
  const passed: string[] = [];
  const failed: string[] = [];
  await new Promise<void>((resolve) => {
    const runner = mocha.run(() => resolve());
    runner.on("pass", (test) => passed.push(test.fullTitle()));
    runner.on("fail", (test) => failed.push(test.fullTitle()));
  });
  await stopAll();
  const red = knownRed();
  const expected = failed.filter((title) => red.includes(title));
  const surprising = failed.filter((title) => !red.includes(title));
  const mended = passed.filter((title) => red.includes(title));
  for (const title of expected) console.log(`known red: ${title}`);
  for (const title of mended) console.log(`listed red but passes: ${title}`);
  const isListTooLong = red.length > MAX_KNOWN_RED;
  if (isListTooLong) console.log("KNOWN-RED.txt has more than three lines");
  if (passed.length === 0) console.log("no test passed");
  console.log(`${passed.length} passed, ${surprising.length} failed`);
  const isBad =
    surprising.length > 0 ||
    mended.length > 0 ||
    isListTooLong ||
    passed.length === 0;
  return isBad ? 1 : 0;
};

process.exit(await run());
