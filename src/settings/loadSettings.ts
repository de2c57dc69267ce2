/** Loads the settings file of one process. */
import { readFileSync } from "node:fs";

import { InvalidInputError } from "../shared/errors.js";
import { errText } from "../shared/utils.js";
import { parseCheckedYaml } from "./checkedYaml.js";
import { settingsSchema } from "./schema.js";
import type { Settings } from "./schema.js";

/** Reads a text file; a failure names the file. */
export const readText = (file: string): string => {
  try {
    return readFileSync(file, "utf8");
  } catch (err) {
    throw new InvalidInputError(`${file}: can't be read: ${errText(err)}`);
  }
};

export const loadSettings = (file: string): Settings =>
  parseCheckedYaml(file, readText(file), settingsSchema);
