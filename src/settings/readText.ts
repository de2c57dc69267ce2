/** Reads text files, with errors for whoever named them. */
import { readFileSync } from "node:fs";

import { InvalidInputError } from "../shared/errors.js";
import { errText } from "../shared/utils.js";

/** Reads a text file; a failure names the file. */
export const readText = (file: string): string => {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    throw new InvalidInputError(`${file}: can't be read: ${errText(err)}`);
  }
};
