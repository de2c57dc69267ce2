/** Loads the settings file of one process. */
import { parseCheckedYaml } from "./checkedYaml.js";
import { readText } from "./readText.js";
import { settingsSchema } from "./schema.js";
import type { Settings } from "./schema.js";

export const loadSettings = (file: string): Settings =>
  parseCheckedYaml(file, readText(file), settingsSchema);
