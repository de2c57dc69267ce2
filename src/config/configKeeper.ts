/**
 * Holds the configuration in force at one process. Adopts newer ones from the
 * store or a peer and notifies the listeners of each.
 */
import { StoreError } from "../shared/errors.js";
import type { ObjectStore } from "../store/index.js";
import { adoptSnapshot, missingFingerprints } from "./configState.js";
import type { ConfigHead, ConfigSnapshot, ConfigState } from "./configState.js";

/** Object kind of the head; its only object is `HEAD_NAME`. */
export const CONFIG_KIND = "config";
/** Object kind of the parts, which are immutable and named by fingerprint. */
export const CONFIG_PART_KIND = "config-part";
export const HEAD_NAME = "head";

type Listener = (state: ConfigState) => void;

export class ConfigKeeper {
  private state: ConfigState | undefined;
  private readonly listeners: Listener[] = [];

  constructor(private readonly store: ObjectStore) {}

  get current(): ConfigState | undefined {
    return this.state;
  }

  /** Number of the configuration in force; 0 before the first. */
  get number(): number {
    return this.state?.head.number ?? 0;
  }

  /** Adds a listener and calls it at once if a configuration is in force. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
    if (this.state !== undefined) listener(this.state);
  }

  /** Puts a snapshot into force if it is newer. */
  adopt(snapshot: ConfigSnapshot): void {
    const next = adoptSnapshot(this.state, snapshot);
    if (next === undefined || next === this.state) return;
    this.state = next;
    for (const listener of this.listeners) listener(next);
  }

  /** Reads the head and any missing parts from the store. */
  async refresh(): Promise<void> {
    const found = await this.store.get<ConfigHead>(CONFIG_KIND, HEAD_NAME);
    if (found === undefined || found.value.number <= this.number) return;
    const bodies: Record<string, string> = {};
    for (const partFingerprint of missingFingerprints(
      this.state,
      found.value,
    )) {
      bodies[partFingerprint] = await this.readPart(partFingerprint);
    }
    this.adopt({ head: found.value, bodies });
  }

  private async readPart(partFingerprint: string): Promise<string> {
    const part = await this.store.get<{ body: string }>(
      CONFIG_PART_KIND,
      partFingerprint,
    );
    if (part === undefined) {
      throw new StoreError(
        `part ${partFingerprint} of the configuration is missing`,
      );
    }
    return part.value.body;
  }
}
