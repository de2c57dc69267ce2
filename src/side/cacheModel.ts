/**
 * What the side expects in its engine's prefix cache. The side is the only
 * door to its engine, so what it handed over is what the engine has read;
 * the engine's own cache events come late and with gaps and are not needed.
 */
import { LRUCache } from "lru-cache";

import { BLOCK_TOKENS } from "../routing/index.js";

export class CacheModel {
  private blocks: LRUCache<string, true>;

  /** `cacheTokens`: size of the engine's cache, tokens. */
  constructor(private cacheTokens: number) {
    this.blocks = CacheModel.createCache(cacheTokens);
  }

  /** A new size empties it. */
  resize(cacheTokens: number): void {
    if (cacheTokens === this.cacheTokens) return;
    this.cacheTokens = cacheTokens;
    this.clear();
  }

  /** The engine lost its cache. */
  clear(): void {
    this.blocks = CacheModel.createCache(this.cacheTokens);
  }

  /** Tokens of a prompt that are cached, from its prefixes. */
  cachedTokens(prefixes: readonly string[]): number {
    const missing = prefixes.findIndex((prefix) => !this.blocks.has(prefix));
    const count = missing === -1 ? prefixes.length : missing;
    return count * BLOCK_TOKENS;
  }

  /** A prompt was handed to the engine; returns what is new by it. */
  add(prefixes: readonly string[]): string[] {
    const fresh = prefixes.filter((prefix) => !this.blocks.has(prefix));
    for (const prefix of prefixes) this.blocks.set(prefix, true);
    return fresh;
  }

  /** The prompt was not read after all: its caller went away before. */
  remove(prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.blocks.delete(prefix);
  }

  private static createCache(cacheTokens: number): LRUCache<string, true> {
    const max = Math.max(1, Math.floor(cacheTokens / BLOCK_TOKENS));
    return new LRUCache({ max });
  }
}
