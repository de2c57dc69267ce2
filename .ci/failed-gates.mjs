/**
 * Lists the days in journal entries that failed their gate, including those
 * that broke no rule, and the runs that did not finish.
 *
 * Usage: `node .ci/failed-gates.mjs [FILE...]`; default: every entry in journal/.
 */
import { readdirSync, readFileSync } from "node:fs";

const jsonFilesIn = (folder) =>
  readdirSync(folder)
    .filter((name) => name.endsWith(".json"))
    .sort()
    .map((name) => `${folder}/${name}`);

const failuresIn = (file) => {
  const {
    id,
    cmd,
    head = "",
    site,
    days,
    error,
  } = JSON.parse(readFileSync(file, "utf8"));
  const entry = `${cmd} ${id} ${head.slice(0, 7)} ${site ?? "-"}`;
  if (error) return [`${entry}: ${error.split("\n")[0]}`];
  return (days ?? [])
    .filter(({ gate }) => gate === false)
    .map(({ name, seed, short = [], fault, rules }) => {
      const reason =
        short.join("; ") || fault || Object.keys(rules ?? {}).join(", ");
      return `${entry} ${name} seed ${seed}: ${reason}`;
    });
};

const args = process.argv.slice(2);
const files = args.length > 0 ? args : jsonFilesIn("journal");
const failures = files.flatMap(failuresIn);
for (const failure of failures) console.log(failure);
console.log(
  `${failures.length} failed days and unfinished runs in ${files.length} entries`,
);
