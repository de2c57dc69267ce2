/** What a running process gives its start-up code. */
export interface Daemon {
  /** Addresses in use, by what they are for. */
  addresses: Record<string, string>;
  /** Planned stop: resolves when nothing is in flight. */
  stop(): Promise<void>;
}
