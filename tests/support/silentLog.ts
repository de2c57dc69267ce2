/** A log that drops its lines. */
import type { Log } from "../../src/telemetry/index.js";

export const SILENT_LOG: Log = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  debug: () => undefined,
};
