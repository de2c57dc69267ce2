/** State kept separately for each priority of requests. Pure. */

/** Less urgent priorities share the state of this one, which bounds the map. */
const MAX_PRIORITY = 9;

export class PriorityMap<T> {
  private readonly values = new Map<number, T>();

  constructor(private readonly create: () => T) {}

  get(priority: number): T {
    const key = Math.min(MAX_PRIORITY, priority);
    const known = this.values.get(key);
    if (known !== undefined) return known;
    const fresh = this.create();
    this.values.set(key, fresh);
    return fresh;
  }

  /** Values of the priorities that are at least as urgent as this one. */
  upTo(priority: number): T[] {
    return this.select((key) => key <= priority);
  }

  /** Values of the priorities that are at most as urgent as this one. */
  from(priority: number): T[] {
    return this.select((key) => key >= Math.min(MAX_PRIORITY, priority));
  }

  private select(includes: (key: number) => boolean): T[] {
    return [...this.values]
      .filter(([key]) => includes(key))
      .map(([, value]) => value);
  }
}
