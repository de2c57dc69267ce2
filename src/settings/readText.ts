/** Reads text files with error messages meant for users. */
import { readFileSync } from "node:fs";

import { InvalidInputError } from "../shared/errors.js";
import { errText } from "../shared/utils.js";

/** Reads a text file; throws `InvalidInputError` naming the file. */
export const readText = (file: string): string => {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    throw new InvalidInputError(`${file}: can't be read: ${errText(err)}`);
  }
};
