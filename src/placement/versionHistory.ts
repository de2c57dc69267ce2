/** Which software versions of a service were listed, and when. Pure. */
export class VersionHistory {
  /** When each version was listed last, ms. */
  private readonly listedAt = new Map<string, number>();
  private listed: readonly string[] = [];

  /** `versions`: those of all replicas that are listed now. */
  observe(versions: readonly string[], now: number): void {
    // Those that are gone may have left just now.
    this.note(this.listed, now);
    this.note(versions, now);
    this.listed = versions;
  }

  /** Versions that are listed, or were until now. */
  note(versions: readonly string[], now: number): void {
    for (const version of versions) this.listedAt.set(version, now);
  }

  /** Whether several versions were listed in the last `spanMs`. */
  hasSeveral(spanMs: number, now: number): boolean {
    return this.listedSince(now - spanMs).length > 1;
  }

  /** The only version of the last `spanMs`; undefined if several, or none. */
  only(spanMs: number, now: number): string | undefined {
    const [first, ...others] = this.listedSince(now - spanMs);
    return others.length === 0 ? first : undefined;
  }

  private listedSince(from: number): string[] {
    return [...this.listedAt].flatMap(([version, at]) =>
      at >= from ? [version] : [],
    );
  }
}
