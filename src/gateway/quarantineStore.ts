/**
 * Stores the fleet's records of requests that crash replicas. Each process
 * writes its observations to an object of its own. The quarantine records are
 * in the status stored with the configuration, which every entry watches
 * anyway: they take effect like a configuration, and no extra calls are made
 * while no replica ends.
 */
import { z } from "zod/v4";

import { QUARANTINE_STATES } from "../quarantine/index.js";
import type { QuarantineRecord, EndRecord } from "../quarantine/index.js";
import { ABSENT } from "../store/index.js";
import type { FeedItem, ObjectFeed } from "../store/index.js";
import type { GatewaySource, GatewayState } from "./gatewayState.js";

/** Kind of the objects with observed ends; named after the process. */
const ENDS_KIND = "replica-ends";
/** Field of the status stored with the configuration. */
const RECORDS_FIELD = "quarantine";

const recordSchema = z.object({
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

/**
 * Quarantine records in a status; items that don't match the schema are
 * ignored.
 */
export const parseRecords = (status: unknown): QuarantineRecord[] => {
  const listed = fieldsOf(status)[RECORDS_FIELD];
  if (!Array.isArray(listed)) return [];
  return listed.flatMap((item) => {
    const read = recordSchema.safeParse(item);
    return read.success ? [read.data] : [];
  });
};

const parseEnds = ({ value }: FeedItem): EndRecord => {
  const read = endsSchema.safeParse(value);
  return read.success ? read.data : {};
};

const newerItem = (
  left: FeedItem | undefined,
  right: FeedItem | undefined,
): FeedItem | undefined =>
  (left?.revision ?? ABSENT) >= (right?.revision ?? ABSENT) ? left : right;

/** Records of all processes, and of this one (possibly before a restart). */
export interface SeenEnds {
  all: EndRecord[];
  own: EndRecord;
}

export type RecordsWrite = "written" | "conflict" | "failed";

export interface QuarantineStoreOptions {
  /** Name of this process. */
  self: string;
  state: GatewayState;
  source: Pick<GatewaySource, "configKind" | "configName">;
  feed: ObjectFeed;
}

export class QuarantineStore {
  /** Revision of this process's object. */
  private ownRevision = ABSENT;
  /** Configuration object from the last conflict; it may be undecodable. */
  private conflictItem: FeedItem | undefined;

  constructor(private readonly options: QuarantineStoreOptions) {}

  /** Throws `StoreError`. */
  async readEnds(): Promise<SeenEnds> {
    const { feed, self } = this.options;
    const { items } = await feed.list(ENDS_KIND);
    const own = items.find(({ name }) => name === self);
    if (own !== undefined) this.ownRevision = own.revision;
    return {
      all: items.map(parseEnds),
      own: own === undefined ? {} : parseEnds(own),
    };
  }

  /** Whether the record was written. */
  async writeEnds(record: EndRecord): Promise<boolean> {
    const { feed, self } = this.options;
    const result = await feed.write(ENDS_KIND, self, record, this.ownRevision);
    if (result.kind === "written") this.ownRevision = result.item.revision;
    // Only this process writes the object: either the response to a write was
    // lost, or the process wrote it before a restart.
    if (result.kind === "conflict") {
      this.ownRevision = result.current?.revision ?? ABSENT;
    }
    // The store was restored from a backup; the next write finds out whether
    // that has the object.
    if (result.kind === "went-back") this.ownRevision = ABSENT;
    return result.kind === "written";
  }

  /** One conditional write; on a conflict, applies the other writer's state. */
  async writeRecords(
    records: readonly QuarantineRecord[],
  ): Promise<RecordsWrite> {
    const { state, feed, source } = this.options;
    const item = newerItem(state.storedConfig, this.conflictItem);
    // Overwriting a status that was not read would lose other entries' records.
    if (item?.status === undefined) return "failed";
    const status = { ...fieldsOf(item.status), [RECORDS_FIELD]: records };
    const { configKind: kind, configName: name } = source;
    const result = await feed.writeStatus(kind, name, status, item.revision);
    switch (result.kind) {
      case "written":
        state.onConfigItem(result.item, "write");
        return "written";
      case "conflict":
        if (result.current === undefined) return "failed";
        this.conflictItem = result.current;
        state.onConfigItem(result.current, "write");
        return "conflict";
      case "refused":
      case "unknown":
      case "went-back":
        return "failed";
    }
  }
}
