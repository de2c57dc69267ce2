/** Handle of a running daemon. */
export interface Daemon {
  /** Listening addresses by purpose. */
  addresses: Record<string, string>;
  /** Graceful shutdown; resolves when no request is in flight. */
  stop(): Promise<void>;
}
