/**
 * The configuration in force at one process. Invariant: its number only
 * increases, whatever the store or a peer reports.
 */
import { fingerprint } from "../shared/utils.js";
import { fleetSchema, serviceSchema } from "./types.js";
import type { Config, Fleet, Service } from "./types.js";

/** Name of the part that contains the sites and workspaces. */
export const FLEET_PART = "fleet";

const SERVICE_PREFIX = "service/";

/** Stored head of the accepted configuration: its number and parts. */
export interface ConfigHead {
  /** Increases by one with each accepted change. */
  number: number;
  /** Part name to the fingerprint of its body. */
  parts: Record<string, string>;
}

/** A head with the bodies of its parts, keyed by fingerprint. */
export interface ConfigSnapshot {
  head: ConfigHead;
  bodies: Record<string, string>;
}

/** Configuration in force at one process; `undefined` before the first. */
export interface ConfigState {
  head: ConfigHead;
  bodies: Record<string, string>;
  /** Parsed parts by fingerprint, so that only changed parts are parsed. */
  parsed: Map<string, Fleet | Service>;
  config: Config;
}

/** Splits a configuration into parts keyed by fingerprint. */
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

/** Parses the parts of a head; reuses those already parsed. */
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

/** Fingerprints of the head's parts that the state does not contain. */
export const missingFingerprints = (
  state: ConfigState | undefined,
  head: ConfigHead,
): string[] =>
  Object.values(head.parts).filter(
    (partFingerprint) => !(state?.bodies[partFingerprint] ?? ""),
  );

/**
 * Returns the state after receiving a snapshot. An older or equal number
 * changes nothing, so that a store that lost data can't roll a process back.
 * A snapshot with missing parts changes nothing either.
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
