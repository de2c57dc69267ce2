/**
 * The batching of the engine stand-in: steps that read a chunk of one
 * prompt and produce a token for each running sequence, with a limited
 * cache of prompt prefixes. Time is real; rates are options.
 */
import { prefixChain } from "../src/routing/prefixes.js";

export interface EngineRates {
  /** Prompt tokens read in a second by a mixed engine. */
  prefillTokensPerSecond: number;
  /** Fixed time of a step, ms. */
  stepMs: number;
  /** Time that each running sequence adds to a step, ms. */
  sequenceMs: number;
  maxSequences: number;
  /** Prompt tokens read in one step. */
  chunkTokens: number;
  /** Prefix blocks (256 tokens) kept. */
  cacheBlocks: number;
}

/** Speed by role against a mixed engine: prefill, decode. */
const ROLE_SPEED: Record<string, [number, number]> = {
  mixed: [1, 1],
  prefill: [1.3, 0.5],
  decode: [0.5, 1.3],
};

const BLOCK_TOKENS = 256;

export interface Sequence {
  id: string;
  urgency: number;
  promptTokens: number;
  blocks: string[];
  /** Prompt tokens still to read. */
  tokensToRead: number;
  /** Whether the cache was asked for its prompt. */
  hasLookedUp: boolean;
  /** Next output token to produce. */
  nextToken: number;
  /** 0: only the prompt is read. */
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

  /** A prompt's KV cache came from another engine. */
  markImported(sequence: Sequence): void {
    sequence.tokensToRead = 0;
    sequence.hasLookedUp = true;
    this.remember(sequence.blocks);
  }

  cancel(id: string): void {
    this.waiting = this.waiting.filter((item) => item.id !== id);
    this.running = this.running.filter((item) => item.id !== id);
  }

  clearCache(): void {
    this.cache.clear();
  }

  /** The cache is asked when the first chunk is due, not on arrival. */
  private lookUp(sequence: Sequence): void {
    let cached = 0;
    for (const block of sequence.blocks) {
      if (!this.cache.has(block)) break;
      cached += BLOCK_TOKENS;
    }
    // The last token is always read: it gives the first output.
    const reused = Math.min(cached, sequence.promptTokens - 1);
    this.reusedTokens += reused;
    this.readTokens += sequence.promptTokens - reused;
    sequence.tokensToRead = sequence.promptTokens - reused;
    sequence.hasLookedUp = true;
  }

  /** Blocks are kept as they are read, for those that come behind. */
  private rememberRead(sequence: Sequence): void {
    const read = sequence.promptTokens - sequence.tokensToRead;
    this.remember(sequence.blocks.slice(0, Math.floor(read / BLOCK_TOKENS)));
  }

  private remember(blocks: string[]): void {
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
    let read = 0;
    for (const item of this.running) {
      if (item.tokensToRead <= 0 || chunk <= 0) continue;
      if (!item.hasLookedUp) this.lookUp(item);
      const part = Math.min(chunk, item.tokensToRead);
      item.tokensToRead -= part;
      chunk -= part;
      read += part;
      this.rememberRead(item);
    }
    const isRead = (item: Sequence) => item.tokensToRead <= 0;
    const decoding = this.running.filter(
      (item) => isRead(item) && item.outputTokens > 0,
    );
    const onlyRead = this.running.filter(
      (item) => isRead(item) && item.outputTokens === 0,
    );
    const readMs =
      (read / (this.rates.prefillTokensPerSecond * prefillSpeed)) * 1000;
    const decodeMs =
      (this.rates.stepMs + decoding.length * this.rates.sequenceMs) /
      decodeSpeed;
    const stepMs = readMs + (decoding.length > 0 ? decodeMs : 0);
    setTimeout(() => {
      this.running = this.running.filter((item) => !onlyRead.includes(item));
      for (const item of onlyRead) item.onEnd();
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
