export { parseCheckedYaml } from "./checkedYaml.js";
export { loadSettings, readText } from "./loadSettings.js";
export { entrySchema, settingsSchema, sideSchema } from "./schema.js";
export type { EntrySettings, Settings, SideSettings } from "./schema.js";
