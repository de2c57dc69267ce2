/** An in-memory fake of the object API, for tests without processes. */
import { ABSENT } from "../../src/store/index.js";
import type {
  ObjectStore,
  StoredObject,
  WatchEvent,
  WatchReply,
  WriteResult,
} from "../../src/store/index.js";

export class MemoryStore implements ObjectStore {
  private readonly objects = new Map<string, StoredObject>();
  private readonly events: WatchEvent[] = [];
  private revision = 0;
  private waiters: (() => void)[] = [];
  /** Runs before each write takes effect. */
  beforePut: (kind: string) => Promise<void> | void = () => undefined;

  async get<T>(
    kind: string,
    name: string,
  ): Promise<StoredObject<T> | undefined> {
    return structuredClone(this.objects.get(`${kind}/${name}`)) as
      StoredObject<T> | undefined;
  }

  async list<T>(kind: string): Promise<StoredObject<T>[]> {
    const all = [...this.objects.values()] as StoredObject<T>[];
    return all.filter((item) => item.kind === kind);
  }

  async put<T>(
    kind: string,
    name: string,
    value: T,
    expected: number,
    writeId: string,
  ): Promise<WriteResult<T>> {
    await this.beforePut(kind);
    const key = `${kind}/${name}`;
    const current = this.objects.get(key) as StoredObject<T> | undefined;
    if ((current?.version ?? ABSENT) !== expected) {
      return { kind: "conflict", current };
    }
    this.revision += 1;
    const version = this.revision;
    this.objects.set(key, { kind, name, version, writeId, value });
    this.events.push({ kind, name, version });
    const waiters = this.waiters;
    this.waiters = [];
    for (const resolveWaiter of waiters) resolveWaiter();
    return { kind: "written", version };
  }

  async watch(
    kinds: string[],
    revision: number,
    waitMs: number,
  ): Promise<WatchReply> {
    const newEvents = () =>
      this.events.filter(
        (event) => event.version > revision && kinds.includes(event.kind),
      );
    if (newEvents().length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return { revision: this.revision, events: newEvents() };
  }
}
