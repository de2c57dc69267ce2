/**
 * Conditional write that resolves a lost answer. After `unknown`, the object
 * is read back and its write id compared. If the version is unchanged, the
 * same write is retried with the same id: a delayed first copy and the retry
 * can't both take effect.
 */
import type { ObjectStore, StoredObject, WriteResult } from "./types.js";
import { ABSENT } from "./types.js";

const MAX_ATTEMPTS = 4;

/** Like `put`, but returns `unknown` only if the store never answers. */
export const confirmedWrite = async <T>(
  store: ObjectStore,
  kind: string,
  name: string,
  value: T,
  expected: number,
  writeId: string,
): Promise<WriteResult<T>> => {
  let isUncertain = false;
  let why = "";
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const result = await store.put(kind, name, value, expected, writeId);
    if (result.kind === "written") return result;
    if (result.kind === "refused" && !isUncertain) return result;
    if (result.kind === "conflict") {
      const { current } = result;
      if (current?.writeId !== writeId) return result;
      return { kind: "written", version: current.version };
    }
    isUncertain = true;
    why = result.why;
    const found = await readBack<T>(store, kind, name, expected, writeId);
    if (found !== undefined) return found;
  }
  return { kind: "unknown", why };
};

const readBack = async <T>(
  store: ObjectStore,
  kind: string,
  name: string,
  expected: number,
  writeId: string,
): Promise<WriteResult<T> | undefined> => {
  let current: StoredObject<T> | undefined;
  try {
    current = await store.get<T>(kind, name);
  } catch {
    return undefined;
  }
  if (current?.writeId === writeId) {
    return { kind: "written", version: current.version };
  }
  const version = current?.version ?? ABSENT;
  if (version !== expected) return { kind: "conflict", current };
  return undefined;
};
