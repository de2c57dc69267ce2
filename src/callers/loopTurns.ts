/**
 * Divides the event loop among connections, so that those whose input takes
 * much work leave time for the others. Such connections are read one at a time,
 * and requests that take much work start one at a time; if several wait, the
 * loop is left to the rest for as long as the last one took.
 * Work is about 1 for each microsecond that it takes.
 */
import type { Socket } from "node:net";

/** Work within some time, ms, from which a connection waits for its slot. */
const MAX_SOCKET_WORK = 250;
const WORK_WINDOW_MS = 1;
/** Work of a request that starts at once. */
const MAX_SMALL_WORK = 250;
/** What a slot is used for: a new connection, another one, or a request. */
type SlotKind = "newest" | "oldest" | "heavy" | "start";
/**
 * Slots in turn. Where more connections arrive than can be read, most of the
 * newest are read before their callers give up, and none waits without end.
 */
const SLOTS: readonly SlotKind[] = [
  "newest",
  "heavy",
  "newest",
  "start",
  "oldest",
];
/** Longest time that is left to the rest after a slot, ms. */
const MAX_REST_MS = 20;

/** A request that waits for its slot. */
interface WaitingStart {
  socket: Socket;
  start(): void;
}

export class LoopTurns {
  /** Work done for connections, each since the instant `at`. */
  private readonly work = new Map<Socket, { at: number; total: number }>();
  /** Connections that are not read until they get a slot. */
  private readonly fresh = new Set<Socket>();
  private readonly heavy = new Set<Socket>();
  private starts: WaitingStart[] = [];
  /** When the slot began whose work goes on, ms. */
  private slotAt: number | undefined;
  private restUntil = -Infinity;
  private slots = 0;
  private isScheduled = false;

  constructor(private readonly now: () => number) {}

  /** A new connection is read at once, unless others wait for their slots. */
  admit(socket: Socket): void {
    this.work.set(socket, { at: 0, total: 0 });
    // Node resumes a connection after each message and chunk that it has parsed.
    socket.on("resume", () => {
      if (this.fresh.has(socket) || this.heavy.has(socket)) socket.pause();
    });
    if (this.waiting > 0) this.wait(socket, this.fresh);
  }

  /** Records work that the input of a connection took. */
  record(socket: Socket, work: number): void {
    const recent = this.work.get(socket);
    if (recent === undefined) return;
    const now = this.now();
    if (now - recent.at >= WORK_WINDOW_MS) {
      recent.at = now;
      recent.total = 0;
    }
    recent.total += work;
    if (recent.total >= MAX_SOCKET_WORK) this.wait(socket, this.heavy);
  }

  /** Starts a request at once, or in a slot if it takes much work. */
  start(socket: Socket, work: number, start: () => void): void {
    if (work <= MAX_SMALL_WORK) return start();
    this.starts.push({ socket, start });
    this.schedule();
  }

  remove(socket: Socket): void {
    this.work.delete(socket);
    this.fresh.delete(socket);
    this.heavy.delete(socket);
    if (this.starts.length === 0) return;
    this.starts = this.starts.filter((item) => item.socket !== socket);
  }

  private get waiting(): number {
    return this.fresh.size + this.heavy.size + this.starts.length;
  }

  private wait(socket: Socket, lane: Set<Socket>): void {
    if (socket.destroyed || lane.has(socket)) return;
    lane.add(socket);
    socket.pause();
    this.schedule();
  }

  /** Looks at the end of this turn, or once the loop has been left to the rest. */
  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const restMs = this.restUntil - this.now();
    const endTurn = () => this.endTurn();
    if (restMs > 0 && this.slotAt === undefined) setTimeout(endTurn, restMs);
    else setImmediate(endTurn);
  }

  private endTurn(): void {
    this.isScheduled = false;
    const now = this.now();
    if (this.slotAt !== undefined && this.waiting > 1)
      this.restUntil = now + Math.min(MAX_REST_MS, now - this.slotAt);
    this.slotAt = undefined;
    if (this.waiting === 0) return;
    if (now >= this.restUntil) {
      this.slotAt = now;
      this.useSlot();
    }
    this.schedule();
  }

  /** Starts one request, or reads one connection. */
  private useSlot(): void {
    for (let tries = 0; tries < SLOTS.length; tries += 1) {
      const kind = SLOTS[this.slots % SLOTS.length];
      this.slots += 1;
      if (this.useSlotFor(kind)) return;
    }
  }

  /** Returns false if nothing of this kind waits. */
  private useSlotFor(kind: SlotKind | undefined): boolean {
    if (kind === "start") {
      const next = this.starts.shift();
      next?.start();
      return next !== undefined;
    }
    const lane = kind === "heavy" ? this.heavy : this.fresh;
    const [oldest] = lane;
    const socket = kind === "newest" ? [...lane].at(-1) : oldest;
    if (socket === undefined) return false;
    lane.delete(socket);
    socket.resume();
    return true;
  }
}
