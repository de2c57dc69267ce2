/** Writes record.txt of a case, and ends the case with its exit status. */
import fs from "node:fs";

export const EXIT = { held: 0, broken: 1, couldNotRun: 2 };

export class Record {
  #fd;
  #startedAt = performance.now();

  constructor(file) {
    this.#fd = fs.openSync(file, "w");
  }

  line(text) {
    const at = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    fs.writeSync(this.#fd, `${at} ${text}\n`);
  }
}

/** Whether the disruption is left out. */
export const isQuiet = process.env.TROUBLE === "0";

/**
 * Runs a case. `play` resolves with the text of what broke the rule;
 * undefined: the rule held.
 */
export const runCase = async (file, play, stop) => {
  const record = new Record(file);
  let status = EXIT.couldNotRun;
  try {
    const broken = await play(record);
    status = broken === undefined ? EXIT.held : EXIT.broken;
    const result = broken ?? "the rule held";
    record.line(`RESULT ${result}`);
    console.log(result);
  } catch (err) {
    record.line(`RESULT could not run: ${err.stack}`);
    console.log(`could not run: ${err.message}`);
  }
  await stop();
  process.exit(status);
};
