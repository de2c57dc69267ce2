/** What a side tells entries that ask for its exact state. */
import { z } from "zod/v4";

import { ROLES } from "../config/index.js";
import { SIDE_STATES } from "../routing/index.js";

export const sideReportSchema = z.object({
  upstream: z.string(),
  role: z.enum(ROLES),
  state: z.enum(SIDE_STATES),
  inFlight: z.number(),
  queued: z.number(),
  /** Prompt tokens let in since the start. */
  prefillTokens: z.number(),
  /** Output tokens asked for by requests let in since the start. */
  outputTokens: z.number(),
  configNumber: z.number(),
  storeCalls: z.number(),
});

export type SideReport = z.infer<typeof sideReportSchema>;

/** Checks a report where it enters an entry. */
export const parseSideReport = (json: string): SideReport =>
  sideReportSchema.parse(JSON.parse(json));
