/**
 * Stores a configuration. Its parts are written first and are immutable, as
 * they are named by their fingerprints; the conditional update of the head
 * commits the change.
 */
import { randomUUID } from "node:crypto";

import { OrderError } from "../shared/errors.js";
import { ABSENT, confirmedWrite } from "../store/index.js";
import type { ObjectStore, StoredObject } from "../store/index.js";
import { toSnapshot } from "./configState.js";
import type { ConfigHead, ConfigSnapshot, ConfigState } from "./configState.js";
import { CONFIG_KIND, CONFIG_PART_KIND, HEAD_NAME } from "./configKeeper.js";
import type { Config } from "./types.js";

/** The accepted snapshot, or the number of the concurrent winner. */
export type ApplyResult =
  | { kind: "accepted"; snapshot: ConfigSnapshot }
  | { kind: "lost"; number: number };

/** Writes the parts that the configuration in force does not contain. */
const writeParts = async (
  store: ObjectStore,
  snapshot: ConfigSnapshot,
  known: ConfigState | undefined,
): Promise<void> => {
  for (const [partFingerprint, body] of Object.entries(snapshot.bodies)) {
    if (known?.bodies[partFingerprint] !== undefined) continue;
    const result = await confirmedWrite(
      store,
      CONFIG_PART_KIND,
      partFingerprint,
      { body },
      ABSENT,
      randomUUID(),
    );
    const isStored = result.kind === "written" || result.kind === "conflict";
    if (!isStored) throw new OrderError(`object API: ${result.why}`);
  }
};

/**
 * Replaces the configuration in force, `known`, by `config`. If the store has
 * an older number than this process, it has lost data, and nothing is written.
 * Throws `OrderError` then and if a write fails; `StoreError` if the read
 * fails.
 */
export const applyConfig = async (
  store: ObjectStore,
  known: ConfigState | undefined,
  config: Config,
): Promise<ApplyResult> => {
  const head: StoredObject<ConfigHead> | undefined =
    await store.get<ConfigHead>(CONFIG_KIND, HEAD_NAME);
  const stored = head?.value.number ?? 0;
  const localNumber = known?.head.number ?? 0;
  if (stored < localNumber) {
    throw new OrderError(
      `the object API shows configuration ${stored}, older than ${localNumber} ` +
        "in force; nothing was changed",
    );
  }
  if (stored > localNumber) return { kind: "lost", number: stored };
  const snapshot = toSnapshot(config, stored + 1);
  await writeParts(store, snapshot, known);
  const result = await confirmedWrite<ConfigHead>(
    store,
    CONFIG_KIND,
    HEAD_NAME,
    snapshot.head,
    head?.version ?? ABSENT,
    randomUUID(),
  );
  switch (result.kind) {
    case "written":
      return { kind: "accepted", snapshot };
    case "conflict":
      return { kind: "lost", number: result.current?.value.number ?? 0 };
    default:
      throw new OrderError(`object API: ${result.why}; ask again what holds`);
  }
};
