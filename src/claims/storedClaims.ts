/**
 * Claims stored in the object API. Claims of a shard that arrive during a write
 * are batched into the next one, so that many requests share a write.
 */
import { randomUUID } from "node:crypto";

import { ABSENT, confirmedWrite } from "../store/index.js";
import type { ObjectStore, StoredObject } from "../store/index.js";
import type { RequestFailure } from "../shared/errors.js";
import { fingerprint } from "../shared/utils.js";
import {
  applyClaimEvent,
  evaluateClaim,
  EMPTY_CLAIMS,
  MAX_SHARD_BYTES,
  pruneClaims,
} from "./claimTable.js";
import type { ClaimEvent, ClaimTable } from "./claimTable.js";
import type {
  ClaimAnswer,
  ClaimRequest,
  Claims,
  StoredAnswer,
} from "./types.js";

export const CLAIMS_KIND = "claims";
const SHARDS = 16;
const CLAIM_RETENTION_MS = 3_600_000;
const MAX_WRITE_ATTEMPTS = 20;
const RETRY_AFTER_MS = 1000;
/**
 * A larger answer is not stored; a repeat of its key is told that the request
 * ran.
 */
const MAX_STORED_ANSWER_BYTES = 4096;

interface Pending {
  event: ClaimEvent;
  resolve: (answer: ClaimAnswer) => void;
}

interface Shard {
  name: string;
  pending: Pending[];
  isWriting: boolean;
  last: StoredObject<ClaimTable> | undefined;
}

const unavailable = (why: string, isUnsure: boolean): ClaimAnswer => {
  const failure: RequestFailure = {
    status: 503,
    code: "store_unavailable",
    message: `the claim could not be recorded (${why}); nothing was run`,
    verdict: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  };
  if (isUnsure) {
    failure.message += "; the key may stay in use";
  }
  return { kind: "refused", failure };
};

export class StoredClaims implements Claims {
  private readonly shards = new Map<string, Shard>();

  constructor(
    private readonly store: ObjectStore,
    private readonly wallClock: () => number,
  ) {}

  begin(request: ClaimRequest): Promise<ClaimAnswer> {
    return this.submit({ kind: "begin", request });
  }

  async finish(request: ClaimRequest, answer: StoredAnswer): Promise<void> {
    const isStored = answer.body.length <= MAX_STORED_ANSWER_BYTES;
    const event: ClaimEvent = { kind: "finish", request };
    await this.submit(isStored ? { ...event, answer } : event);
  }

  async release(request: ClaimRequest): Promise<void> {
    await this.submit({ kind: "release", request });
  }

  private submit(event: ClaimEvent): Promise<ClaimAnswer> {
    const shard = this.shardOf(event.request);
    return new Promise((resolve) => {
      shard.pending.push({ event, resolve });
      if (!shard.isWriting) void this.writePending(shard);
    });
  }

  private shardOf({ service, key }: ClaimRequest): Shard {
    const index = parseInt(fingerprint(key).slice(0, 4), 16) % SHARDS;
    const name = `${service}.${index}`;
    const known = this.shards.get(name);
    if (known !== undefined) return known;
    const fresh: Shard = {
      name,
      pending: [],
      isWriting: false,
      last: undefined,
    };
    this.shards.set(name, fresh);
    return fresh;
  }

  private async writePending(shard: Shard): Promise<void> {
    shard.isWriting = true;
    while (shard.pending.length > 0) {
      const batch = shard.pending;
      shard.pending = [];
      await this.writeBatch(shard, batch);
    }
    shard.isWriting = false;
  }

  /** Applies a batch in one conditional write, retried after a conflict. */
  private async writeBatch(shard: Shard, batch: Pending[]): Promise<void> {
    let why = "too many writers";
    let isUnsure = false;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      const table = shard.last?.value ?? EMPTY_CLAIMS;
      const { next, answers } = this.applyBatch(table, batch);
      if (next === table && shard.last !== undefined && attempt > 0) {
        return this.resolveAll(batch, answers);
      }
      if (JSON.stringify(next).length > MAX_SHARD_BYTES) {
        why = "the claims of this shard are full";
        break;
      }
      const expected = shard.last?.version ?? ABSENT;
      const writeId = randomUUID();
      const result = await confirmedWrite<ClaimTable>(
        this.store,
        CLAIMS_KIND,
        shard.name,
        next,
        expected,
        writeId,
      );
      if (result.kind === "written") {
        const { version } = result;
        shard.last = this.storedObject(shard.name, version, writeId, next);
        return this.resolveAll(batch, answers);
      }
      if (result.kind !== "conflict") {
        why = result.why;
        isUnsure = result.kind === "unknown";
        shard.last = undefined;
        break;
      }
      shard.last = result.current;
    }
    const refusal = unavailable(why, isUnsure);
    this.resolveAll(
      batch,
      batch.map(() => refusal),
    );
  }

  private resolveAll(batch: Pending[], answers: ClaimAnswer[]): void {
    batch.forEach((item, at) => {
      const answer = answers[at];
      if (answer !== undefined) item.resolve(answer);
    });
  }

  /**
   * Applies events in order: of two `begin` events for a key, the first wins.
   */
  private applyBatch(
    table: ClaimTable,
    batch: Pending[],
  ): { next: ClaimTable; answers: ClaimAnswer[] } {
    const now = this.wallClock();
    let next = pruneClaims(table, now, CLAIM_RETENTION_MS);
    const answers: ClaimAnswer[] = [];
    for (const { event } of batch) {
      answers.push(evaluateClaim(next, event.request));
      next = applyClaimEvent(next, event, now);
    }
    return { next, answers };
  }

  private storedObject(
    name: string,
    version: number,
    writeId: string,
    value: ClaimTable,
  ): StoredObject<ClaimTable> {
    return { kind: CLAIMS_KIND, name, version, writeId, value };
  }
}
