/** Selects the positions that an entry has to be sent. Pure. */
import type { SeenRevision } from "./holderVouches.js";

/**
 * Unchanged positions are sent again after this time, ms: with the interval of
 * 300 ms at which the holder looks, in every second one. They are valid for 1 s
 * at entries, which leaves 400 ms for a message that is late. At 900 ms each
 * late one would end the long waits of an entry.
 */
const REPEAT_AFTER_MS = 500;

export class RevisionFilter {
  private sent: readonly SeenRevision[] = [];
  private sentAt = -Infinity;

  /** The positions to send now; none if those sent are recent and unchanged. */
  selectUpdates(seen: readonly SeenRevision[], now: number): SeenRevision[] {
    const isRecent = now - this.sentAt < REPEAT_AFTER_MS;
    if (isRecent && seen.every((item) => this.isSent(item))) return [];
    this.sent = seen;
    this.sentAt = now;
    return [...seen];
  }

  private isSent({ kind, revision }: SeenRevision): boolean {
    const known = this.sent.find((item) => item.kind === kind);
    return known?.revision === revision;
  }
}
