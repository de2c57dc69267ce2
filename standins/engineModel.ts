/**
 * Simulates an engine's continuous batching. Each step reads up to
 * `chunkTokens` prompt tokens and produces one token for each sequence whose
 * prompt has been read. Prompt prefixes are kept in a cache of limited size.
 * Steps take real time; the rates are options.
 */
import { prefixChain } from "../src/routing/prefixes.js";

export interface EngineRates {
  /** Prompt tokens that a mixed engine reads per second. */
  prefillTokensPerSecond: number;
  /** Fixed time of a step, ms. */
  stepMs: number;
  /** Time that each running sequence adds to a step, ms. */
  sequenceMs: number;
  maxSequences: number;
  /** Maximum number of prompt tokens read in one step. */
  chunkTokens: number;
  /** Maximum number of cached prefix blocks, of 256 tokens each. */
  cacheBlocks: number;
}

/** Prefill and decode speed of each role, relative to a mixed engine. */
const ROLE_SPEED: Record<string, [number, number]> = {
  mixed: [1, 1],
  prefill: [1.3, 0.5],
  decode: [0.5, 1.3],
};

const BLOCK_TOKENS = 256;

/** A request in the batch. */
export interface Sequence {
  id: string;
  urgency: number;
  promptTokens: number;
  blocks: string[];
  /** Prompt tokens still to read. */
  tokensToRead: number;
  /** Whether the prompt has been looked up in the cache. */
  hasLookedUp: boolean;
  /** Index of the next output token. */
  nextToken: number;
  /** With 0, only the prompt is read. */
  outputTokens: number;
  onToken: (index: number) => void;
  onEnd: () => void;
}

export class EngineModel {
  private waiting: Sequence[] = [];
  private running: Sequence[] = [];
  private readonly cache = new Map<string, true>();
  private isStepping = false;
  role = "mixed";
  reusedTokens = 0;
  readTokens = 0;

  constructor(readonly rates: EngineRates) {}

  get active(): number {
    return this.running.length + this.waiting.length;
  }

  get unreadTokens(): number {
    return [...this.running, ...this.waiting].reduce(
      (sum, item) => sum + Math.max(0, item.tokensToRead),
      0,
    );
  }

  static blocksOf(model: string, prompt: string): string[] {
    return prefixChain(model, prompt);
  }

  add(sequence: Sequence): void {
    this.waiting.push(sequence);
    this.waiting.sort((left, right) => left.urgency - right.urgency);
    if (!this.isStepping) this.step();
  }

  /** Marks a prompt as read, since its KV cache came from another engine. */
  markImported(sequence: Sequence): void {
    sequence.tokensToRead = 0;
    sequence.hasLookedUp = true;
    this.storeBlocks(sequence.blocks);
  }

  cancel(id: string): void {
    this.waiting = this.waiting.filter((item) => item.id !== id);
    this.running = this.running.filter((item) => item.id !== id);
  }

  clearCache(): void {
    this.cache.clear();
  }

  /** Called when the first chunk is read, not when the sequence is added. */
  private lookUpCache(sequence: Sequence): void {
    let cached = 0;
    for (const block of sequence.blocks) {
      if (!this.cache.has(block)) break;
      cached += BLOCK_TOKENS;
    }
    // The last prompt token is always read: it produces the first output.
    const reused = Math.min(cached, sequence.promptTokens - 1);
    this.reusedTokens += reused;
    this.readTokens += sequence.promptTokens - reused;
    sequence.tokensToRead = sequence.promptTokens - reused;
    sequence.hasLookedUp = true;
  }

  /** Caches blocks as soon as they are read, so that later sequences hit them. */
  private cacheReadBlocks(sequence: Sequence): void {
    const read = sequence.promptTokens - sequence.tokensToRead;
    this.storeBlocks(sequence.blocks.slice(0, Math.floor(read / BLOCK_TOKENS)));
  }

  /** Adds blocks to the cache and evicts the least recently used ones. */
  private storeBlocks(blocks: string[]): void {
    for (const block of blocks) {
      this.cache.delete(block);
      this.cache.set(block, true);
    }
    for (const block of this.cache.keys()) {
      if (this.cache.size <= this.rates.cacheBlocks) return;
      this.cache.delete(block);
    }
  }

  private step(): void {
    while (
      this.waiting.length > 0 &&
      this.running.length < this.rates.maxSequences
    ) {
      this.running.push(this.waiting.shift() as Sequence);
    }
    if (this.running.length === 0) {
      this.isStepping = false;
      return;
    }
    this.isStepping = true;
    const [prefillSpeed, decodeSpeed] = ROLE_SPEED[this.role] ?? [1, 1];
    let chunk = this.rates.chunkTokens;
    let tokensRead = 0;
    for (const item of this.running) {
      if (item.tokensToRead <= 0 || chunk <= 0) continue;
      if (!item.hasLookedUp) this.lookUpCache(item);
      const tokens = Math.min(chunk, item.tokensToRead);
      item.tokensToRead -= tokens;
      chunk -= tokens;
      tokensRead += tokens;
      this.cacheReadBlocks(item);
    }
    const isRead = (item: Sequence) => item.tokensToRead <= 0;
    const decoding = this.running.filter(
      (item) => isRead(item) && item.outputTokens > 0,
    );
    const prefillOnly = this.running.filter(
      (item) => isRead(item) && item.outputTokens === 0,
    );
    const readMs =
      (tokensRead / (this.rates.prefillTokensPerSecond * prefillSpeed)) * 1000;
    const decodeMs =
      (this.rates.stepMs + decoding.length * this.rates.sequenceMs) /
      decodeSpeed;
    const stepMs = readMs + (decoding.length > 0 ? decodeMs : 0);
    setTimeout(() => {
      this.running = this.running.filter((item) => !prefillOnly.includes(item));
      for (const item of prefillOnly) item.onEnd();
      this.finishStep(decoding);
    }, stepMs);
  }

  private finishStep(decoding: Sequence[]): void {
    for (const item of decoding) {
      if (!this.running.includes(item)) continue;
      item.onToken(item.nextToken);
      item.nextToken += 1;
      if (item.nextToken < item.outputTokens) continue;
      this.running = this.running.filter((other) => other !== item);
      item.onEnd();
    }
    this.step();
  }
}
