/** Loads the settings of one process from a YAML file. */
import { parseCheckedYaml } from "./checkedYaml.js";
import { readText } from "./readText.js";
import { settingsSchema } from "./schema.js";
import type { Settings } from "./schema.js";

export const loadSettings = (file: string): Settings =>
  parseCheckedYaml(file, readText(file), settingsSchema);
