/** Remembers which software version began each stream. Pure; times are ms. */

/** The oldest give way; a holder of a few thousand streams a second keeps all. */
const MAX_STREAMS = 100_000;
/** Callers choose the ids; streams with longer ones are not kept. */
const MAX_KEY_CHARS = 512;

/** The software version that sent the first event of a stream. */
export interface StreamOrigin {
  /** See `streamKey`. */
  key: string;
  version: string;
  /** How much longer it is kept. */
  keepMs: number;
}

interface Kept {
  version: string;
  until: number;
  isOwn: boolean;
}

export class StreamOrigins {
  /** In the order of the last record. */
  private readonly kept = new Map<string, Kept>();
  private news = new Set<string>();

  get size(): number {
    return this.kept.size;
  }

  /** Replaces what is known of the stream; `isOwn`: this process relays it. */
  record(
    { key, version, keepMs }: StreamOrigin,
    now: number,
    isOwn = false,
  ): void {
    if (key.length > MAX_KEY_CHARS) return;
    this.kept.delete(key);
    this.kept.set(key, { version, until: now + keepMs, isOwn });
    this.news.add(key);
    if (this.kept.size > MAX_STREAMS) this.deleteOldest();
  }

  find(key: string, now: number): string | undefined {
    const known = this.kept.get(key);
    return known !== undefined && known.until > now ? known.version : undefined;
  }

  all(now: number): StreamOrigin[] {
    return [...this.kept.keys()].flatMap((key) => this.origin(key, now));
  }

  /** Those of streams that this process relays or relayed. */
  own(now: number): StreamOrigin[] {
    return this.all(now).filter(({ key }) => this.isOwn(key));
  }

  isOwn(key: string): boolean {
    return this.kept.get(key)?.isOwn === true;
  }

  /** What was recorded since the last call. */
  takeNews(now: number): StreamOrigin[] {
    const keys = [...this.news];
    this.news = new Set();
    return keys.flatMap((key) => this.origin(key, now));
  }

  dropNews(): void {
    this.news.clear();
  }

  expire(now: number): void {
    for (const [key, { until }] of this.kept)
      if (until <= now) this.delete(key);
  }

  private origin(key: string, now: number): StreamOrigin[] {
    const { version, until = 0 } = this.kept.get(key) ?? {};
    if (version === undefined || until <= now) return [];
    return [{ key, version, keepMs: until - now }];
  }

  private deleteOldest(): void {
    const [oldest] = this.kept.keys();
    if (oldest !== undefined) this.delete(oldest);
  }

  private delete(key: string): void {
    this.kept.delete(key);
    this.news.delete(key);
  }
}
