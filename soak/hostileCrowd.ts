/** Clients of an entry that keep to no limit, for a fault of the soak. */
import { callHeaders } from "../platform/standins/caller.js";
import type { ClientKind, CrowdOptions } from "../standins/hostileClients.js";
import { startStandin } from "../tests/support/processes.js";
import type { Program } from "../tests/support/processes.js";

/** Those whose requests never become whole, so that no replica runs them. */
export const UNENDED_KINDS: readonly ClientKind[] = [
  "stopped-body",
  "slow-body",
  "body-over-length",
  "body-over-chunks",
  "stopped-fields",
  "slow-head",
  "silent",
];
export const ENDED_KINDS: readonly ClientKind[] = [
  "large-body",
  "body-in-pieces",
  "body-in-chunks",
  "short-fields",
  "sent-ahead",
  "unread-answer",
];

const ROUTE_PATH = "/safe/a";
const NO_ROUTE_PATH = "/nowhere/a";
const DEADLINE_MS = 2000;
/** As in the configuration of the stand-ins, and in Node's default. */
const MAX_BODY_BYTES = 100_000;
const MAX_HEADER_BYTES = 16 * 1024;

/** Starts a crowd at an address; it ends by itself. */
export const startCrowd = (
  kind: ClientKind,
  address: string,
  connections: number,
  seconds: number,
): Promise<Program> => {
  const path = UNENDED_KINDS.includes(kind) ? ROUTE_PATH : NO_ROUTE_PATH;
  const headers = callHeaders("hostile-#", DEADLINE_MS);
  const options: CrowdOptions = {
    kind,
    address,
    target: { method: "POST", path, headers },
    connections,
    seconds,
    maxBodyBytes: MAX_BODY_BYTES,
    maxHeaderBytes: MAX_HEADER_BYTES,
  };
  return startStandin("hostileClients", options);
};
