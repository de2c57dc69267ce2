/**
 * Models the content of the engine's prefix cache. All requests to the engine
 * pass through its side, so the prompts sent are the prompts that the engine
 * has read. The engine's own cache events are late and incomplete, and not
 * needed.
 */
import { LRUCache } from "lru-cache";

import { BLOCK_TOKENS } from "../routing/index.js";

export class CacheModel {
  private blocks: LRUCache<string, true>;

  /** `cacheTokens` is the size of the engine's cache in tokens. */
  constructor(private cacheTokens: number) {
    this.blocks = CacheModel.createCache(cacheTokens);
  }

  /** Sets the cache size; clears the model if it changed. */
  resize(cacheTokens: number): void {
    if (cacheTokens === this.cacheTokens) return;
    this.cacheTokens = cacheTokens;
    this.clear();
  }

  /** Called when the engine has lost its cache. */
  clear(): void {
    this.blocks = CacheModel.createCache(this.cacheTokens);
  }

  /** Number of cached tokens of a prompt with these prefixes. */
  cachedTokens(prefixes: readonly string[]): number {
    const missing = prefixes.findIndex((prefix) => !this.blocks.has(prefix));
    const count = missing === -1 ? prefixes.length : missing;
    return count * BLOCK_TOKENS;
  }

  /** Adds a prompt sent to the engine; returns the prefixes that are new. */
  add(prefixes: readonly string[]): string[] {
    const fresh = prefixes.filter((prefix) => !this.blocks.has(prefix));
    for (const prefix of prefixes) this.blocks.set(prefix, true);
    return fresh;
  }

  /** Removes prefixes of a prompt whose caller left before it was read. */
  remove(prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.blocks.delete(prefix);
  }

  private static createCache(cacheTokens: number): LRUCache<string, true> {
    const max = Math.max(1, Math.floor(cacheTokens / BLOCK_TOKENS));
    return new LRUCache({ max });
  }
}
