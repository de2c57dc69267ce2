/**
 * Where the fleet's knowledge of requests that end their replicas lies. What
 * each process has seen: an object of its own. The bars: the status beside
 * the configuration, which every entry follows anyway, so that a bar is in
 * force as a configuration is, and nothing is asked while nothing ends.
 */
import { z } from "zod/v4";

import { QUARANTINE_STATES } from "../quarantine/index.js";
import type { QuarantineRecord, EndRecord } from "../quarantine/index.js";
import { ABSENT } from "../store/index.js";
import type { FeedItem, ObjectFeed } from "../store/index.js";
import type { GatewaySource, GatewayState } from "./gatewayState.js";

/** Object kind of what processes have seen; named by the process. */
const ENDS_KIND = "replica-ends";
/** Field of the status beside the configuration. */
const BARS_FIELD = "quarantine";

const barSchema = z.object({
  digest: z.string(),
  state: z.enum(QUARANTINE_STATES),
  step: z.number().int(),
  lives: z.array(z.string()),
  sends: z.number().int(),
  by: z.string(),
  at: z.number(),
});

const endsSchema = z.record(z.string(), z.array(z.string()));

const fieldsOf = (value: unknown): Record<string, unknown> =>
  typeof value === "object" && value !== null ? { ...value } : {};

/** Bars that can be read; others are another writer's, and say nothing. */
export const barsIn = (status: unknown): QuarantineRecord[] => {
  const listed = fieldsOf(status)[BARS_FIELD];
  if (!Array.isArray(listed)) return [];
  return listed.flatMap((item) => {
    const read = barSchema.safeParse(item);
    return read.success ? [read.data] : [];
  });
};

const endsIn = ({ value }: FeedItem): EndRecord => {
  const read = endsSchema.safeParse(value);
  return read.success ? read.data : {};
};

const newerOf = (
  left: FeedItem | undefined,
  right: FeedItem | undefined,
): FeedItem | undefined =>
  (left?.revision ?? ABSENT) >= (right?.revision ?? ABSENT) ? left : right;

/** What all processes have seen, and this one in an earlier life. */
export interface SeenEnds {
  all: EndRecord[];
  own: EndRecord;
}

export type BarsWrite = "written" | "conflict" | "failed";

export interface QuarantineStoreOptions {
  /** Name of this process. */
  self: string;
  state: GatewayState;
  source: Pick<GatewaySource, "configKind" | "configName">;
  feed: ObjectFeed;
}

export class QuarantineStore {
  /** Of this process's object. */
  private revision = ABSENT;
  /** The configuration's object as a write has met it; it may be unreadable. */
  private met: FeedItem | undefined;

  constructor(private readonly options: QuarantineStoreOptions) {}

  /** Errors are `StoreError`. */
  async readEnds(): Promise<SeenEnds> {
    const { feed, self } = this.options;
    const { items } = await feed.list(ENDS_KIND);
    const own = items.find(({ name }) => name === self);
    if (own !== undefined) this.revision = own.revision;
    return {
      all: items.map(endsIn),
      own: own === undefined ? {} : endsIn(own),
    };
  }

  /** Whether it took effect. */
  async writeEnds(record: EndRecord): Promise<boolean> {
    const { feed, self } = this.options;
    const result = await feed.write(ENDS_KIND, self, record, this.revision);
    if (result.kind === "written") this.revision = result.item.revision;
    // Only this process writes it: an answer that was lost, or an earlier life.
    if (result.kind === "conflict") {
      this.revision = result.current?.revision ?? ABSENT;
    }
    // The next write finds out whether the store's copy has the object.
    if (result.kind === "went-back") this.revision = ABSENT;
    return result.kind === "written";
  }

  /** One conditional write; what another has written meanwhile is learnt. */
  async writeBars(bars: readonly QuarantineRecord[]): Promise<BarsWrite> {
    const { state, feed, source } = this.options;
    const item = newerOf(state.storedConfig, this.met);
    // Written over a status that was not read, the others' bars would go.
    if (item?.status === undefined) return "failed";
    const status = { ...fieldsOf(item.status), [BARS_FIELD]: bars };
    const { configKind: kind, configName: name } = source;
    const result = await feed.writeStatus(kind, name, status, item.revision);
    switch (result.kind) {
      case "written":
        state.onConfigItem(result.item);
        return "written";
      case "conflict":
        if (result.current === undefined) return "failed";
        this.met = result.current;
        state.onConfigItem(result.current);
        return "conflict";
      case "refused":
      case "unknown":
      case "went-back":
        return "failed";
    }
  }
}
