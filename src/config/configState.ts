/**
 * The configuration in force at one process. The rule of this aggregate: its
 * number only grows, whatever a store or a peer says.
 */
import { fingerprint } from "../shared/utils.js";
import { fleetSchema, serviceSchema } from "./types.js";
import type { Config, Fleet, Service } from "./types.js";

/** Body of the part that holds sites and workspaces. */
export const FLEET_PART = "fleet";

const SERVICE_PREFIX = "service/";

/** The accepted configuration as it is stored: a number and its parts. */
export interface ConfigHead {
  /** Grows by one with each accepted change. */
  number: number;
  /** Part name to the fingerprint of its body. */
  parts: Record<string, string>;
}

/** A head with the bodies of its parts, by fingerprint. */
export interface ConfigSnapshot {
  head: ConfigHead;
  bodies: Record<string, string>;
}

/** What one process has in force. `undefined` before the first one. */
export interface ConfigState {
  head: ConfigHead;
  bodies: Record<string, string>;
  /** Checked parts by print, so that a change costs only what it changes. */
  parsed: Map<string, Fleet | Service>;
  config: Config;
}

/** Splits a configuration into parts; each is stored under its print. */
export const toSnapshot = (config: Config, number: number): ConfigSnapshot => {
  const parts: Record<string, string> = {};
  const bodies: Record<string, string> = {};
  const add = (name: string, value: unknown) => {
    const body = JSON.stringify(value);
    const partFingerprint = fingerprint(body);
    parts[name] = partFingerprint;
    bodies[partFingerprint] = body;
  };
  add(FLEET_PART, config.fleet);
  for (const service of config.services) {
    add(SERVICE_PREFIX + service.name, service);
  }
  return { head: { number, parts }, bodies };
};

const parsePart = (name: string, body: string): Fleet | Service => {
  const schema = name === FLEET_PART ? fleetSchema : serviceSchema;
  return schema.parse(JSON.parse(body));
};

/** Parts that are held already are taken as they are. */
const parseParts = (
  state: ConfigState | undefined,
  head: ConfigHead,
  bodies: Record<string, string>,
): Map<string, Fleet | Service> => {
  const parsed = new Map<string, Fleet | Service>();
  for (const [name, partFingerprint] of Object.entries(head.parts)) {
    const cached = state?.parsed.get(partFingerprint);
    parsed.set(
      partFingerprint,
      cached ?? parsePart(name, bodies[partFingerprint] ?? ""),
    );
  }
  return parsed;
};

const assemble = (
  head: ConfigHead,
  parsed: Map<string, Fleet | Service>,
): Config => {
  const services = Object.keys(head.parts)
    .filter((name) => name.startsWith(SERVICE_PREFIX))
    .map((name) => parsed.get(head.parts[name] ?? "") as Service);
  const fleet = parsed.get(head.parts[FLEET_PART] ?? "") as Fleet;
  return { fleet, services };
};

/** Prints of the parts that a head names and a state does not hold. */
export const missingFingerprints = (
  state: ConfigState | undefined,
  head: ConfigHead,
): string[] =>
  Object.values(head.parts).filter(
    (partFingerprint) => !(state?.bodies[partFingerprint] ?? ""),
  );

/**
 * The state after hearing of a snapshot. An older or equal number changes
 * nothing, so that a store that lost its memory can't turn a process back.
 */
export const adoptSnapshot = (
  state: ConfigState | undefined,
  snapshot: ConfigSnapshot,
): ConfigState | undefined => {
  if (state !== undefined && snapshot.head.number <= state.head.number) {
    return state;
  }
  const knownBodies = { ...state?.bodies, ...snapshot.bodies };
  const bodies: Record<string, string> = {};
  for (const partFingerprint of Object.values(snapshot.head.parts)) {
    const body = knownBodies[partFingerprint];
    if (body === undefined) return state;
    bodies[partFingerprint] = body;
  }
  const parsed = parseParts(state, snapshot.head, bodies);
  const config = assemble(snapshot.head, parsed);
  return { head: snapshot.head, bodies, parsed, config };
};
