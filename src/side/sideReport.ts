/** Report of a side's exact state, sent to entries on request. */
import { z } from "zod/v4";

import { ROLES } from "../config/index.js";
import { SIDE_STATES } from "../routing/index.js";

export const sideReportSchema = z.object({
  upstream: z.string(),
  role: z.enum(ROLES),
  state: z.enum(SIDE_STATES),
  inFlight: z.number(),
  queued: z.number(),
  /** Total prompt tokens of admitted requests since the process started. */
  prefillTokens: z.number(),
  /** Total output tokens requested by admitted requests since the start. */
  outputTokens: z.number(),
  configNumber: z.number(),
  storeCalls: z.number(),
});

export type SideReport = z.infer<typeof sideReportSchema>;

/** Parses a report; throws if it is invalid. */
export const parseSideReport = (json: string): SideReport =>
  sideReportSchema.parse(JSON.parse(json));
