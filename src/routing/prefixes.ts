/**
 * Prompt prefixes: a prompt's blocks are hashed into a chain, and an index
 * stores which upstreams were recently sent each prefix.
 */
import { LRUCache } from "lru-cache";
import xxhash from "xxhash-wasm";

/** Characters per block; about 256 tokens. */
export const BLOCK_CHARS = 1024;
/** Average characters per token. */
export const CHARS_PER_TOKEN = 4;
/** Tokens per block. */
export const BLOCK_TOKENS = BLOCK_CHARS / CHARS_PER_TOKEN;
const MAX_BLOCKS = 64;
const MAX_HOLDERS = 4;
const MAX_PREFIXES = 50_000;

const { h64ToString } = await xxhash();

/** Estimates the number of tokens in a text. */
export const estimateTokens = (text: string): number =>
  Math.ceil(text.length / CHARS_PER_TOKEN);

/** Hashes of a prompt's prefixes of 1, 2, ... blocks, shortest first. */
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

/** Hashes a text for rendezvous hashing. */
export const hashText = (text: string): string => h64ToString(text);

/** Maps each prefix to the upstreams that probably have it cached. */
export class PrefixIndex {
  private readonly holders = new LRUCache<string, string[]>({
    max: MAX_PREFIXES,
  });

  /** Records that an upstream was sent a prompt with these prefixes. */
  add(upstream: string, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      const known = this.holders.get(prefix) ?? [];
      if (known[0] === upstream) continue;
      const others = known.filter((id) => id !== upstream);
      this.holders.set(prefix, [upstream, ...others].slice(0, MAX_HOLDERS));
    }
  }

  /** Removes the prefixes of a prompt that the upstream did not read after all. */
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

  /** Returns the prefixes that are not recorded for an upstream. */
  missingFrom(upstream: string, prefixes: readonly string[]): string[] {
    return prefixes.filter(
      (prefix) => !this.holders.get(prefix)?.includes(upstream),
    );
  }

  /** Removes an upstream from all prefixes, after a crash or a role change. */
  removeUpstream(upstream: string): void {
    for (const [prefix, ids] of this.holders.entries()) {
      if (!ids.includes(upstream)) continue;
      const rest = ids.filter((id) => id !== upstream);
      this.holders.set(prefix, rest);
    }
  }

  /** Estimated cached tokens by upstream, for upstreams with a matching prefix. */
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
