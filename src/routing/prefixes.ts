/**
 * Prompt prefixes: a prompt's blocks are hashed into a chain, and an index
 * remembers which upstreams were sent each prefix lately.
 */
import { LRUCache } from "lru-cache";
import xxhash from "xxhash-wasm";

/** Characters of a block; about 256 tokens. */
export const BLOCK_CHARS = 1024;
/** Characters that make a token, on average. */
export const CHARS_PER_TOKEN = 4;
/** Tokens of a block. */
export const BLOCK_TOKENS = BLOCK_CHARS / CHARS_PER_TOKEN;
const MAX_BLOCKS = 64;
const MAX_HOLDERS = 4;
const MAX_PREFIXES = 50_000;

const { h64ToString } = await xxhash();

/** Estimated tokens of a text. */
export const estimateTokens = (text: string): number =>
  Math.ceil(text.length / CHARS_PER_TOKEN);

/** Hashes of the growing prefixes of a prompt, shortest first. */
export const prefixChain = (scope: string, prompt: string): string[] => {
  const chain: string[] = [];
  const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARS));
  let previous = scope;
  for (let index = 0; index < blocks; index += 1) {
    const start = index * BLOCK_CHARS;
    const block = prompt.slice(start, start + BLOCK_CHARS);
    previous = h64ToString(previous + block);
    chain.push(previous);
  }
  return chain;
};

/** Hash of a text, for rendezvous hashing. */
export const hashText = (text: string): string => h64ToString(text);

/** Which upstreams are thought to hold which prefixes. */
export class PrefixIndex {
  private readonly holders = new LRUCache<string, string[]>({
    max: MAX_PREFIXES,
  });

  /** Learns that an upstream was sent a prompt. */
  add(upstream: string, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      const known = this.holders.get(prefix) ?? [];
      if (known[0] === upstream) continue;
      const others = known.filter((id) => id !== upstream);
      this.holders.set(prefix, [upstream, ...others].slice(0, MAX_HOLDERS));
    }
  }

  /** Takes back what was learnt of a prompt that was not read after all. */
  remove(upstream: string, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      const known = this.holders.get(prefix);
      if (known === undefined) continue;
      this.holders.set(
        prefix,
        known.filter((id) => id !== upstream),
      );
    }
  }

  /** The prefixes that an upstream is not known to hold. */
  missingFrom(upstream: string, prefixes: readonly string[]): string[] {
    return prefixes.filter(
      (prefix) => !this.holders.get(prefix)?.includes(upstream),
    );
  }

  /** Forgets all of an upstream: it crashed or changed its role. */
  removeUpstream(upstream: string): void {
    for (const [prefix, ids] of this.holders.entries()) {
      if (!ids.includes(upstream)) continue;
      const rest = ids.filter((id) => id !== upstream);
      this.holders.set(prefix, rest);
    }
  }

  /** Cached tokens by upstream, for those that hold some of the prompt. */
  match(prefixes: readonly string[]): Map<string, number> {
    const found = new Map<string, number>();
    for (let index = prefixes.length - 1; index >= 0; index -= 1) {
      const ids = this.holders.get(prefixes[index] ?? "");
      if (ids === undefined) continue;
      const cached = ((index + 1) * BLOCK_CHARS) / CHARS_PER_TOKEN;
      for (const id of ids) {
        if (!found.has(id)) found.set(id, cached);
      }
      if (found.size >= MAX_HOLDERS) break;
    }
    return found;
  }
}
