export { parseCheckedYaml } from "./checkedYaml.js";
export { loadSettings } from "./loadSettings.js";
export { readText } from "./readText.js";
export { entrySchema, settingsSchema, sideSchema } from "./schema.js";
export type { EntrySettings, Settings, SideSettings } from "./schema.js";
