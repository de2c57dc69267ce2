/** List of all tables for `show`; new tables are added here. */
import type { View } from "../types.js";
import { viewCounters } from "./viewCounters.js";
import { viewEngines } from "./viewEngines.js";
import { viewLatency } from "./viewLatency.js";
import { viewLeases } from "./viewLeases.js";
import { viewMembers } from "./viewMembers.js";
import { viewServices } from "./viewServices.js";
import { viewSites } from "./viewSites.js";

export const VIEWS: readonly View[] = [
  viewEngines,
  viewServices,
  viewSites,
  viewMembers,
  viewLeases,
  viewLatency,
  viewCounters,
];
