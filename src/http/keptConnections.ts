/**
 * HTTP agent that closes idle connections which may be dead. A connection can go
 * silent without a reset, and usually not alone: after a request that got no
 * response, only connections that have carried one since are still known to work.
 */
import http from "node:http";
import type { Socket } from "node:net";

export class KeptConnections extends http.Agent {
  /** When a response last ended on a connection, ms. */
  private readonly provenAt = new WeakMap<Socket, number>();

  override keepSocketAlive(socket: Socket): boolean {
    this.provenAt.set(socket, performance.now());
    return super.keepSocketAlive(socket) as unknown as boolean;
  }

  /** Closes idle connections to an address that have been idle since `since`. */
  closeIdleSince(host: string, port: string, since: number): void {
    const name = this.getName({ host, port: Number(port) });
    for (const socket of [...(this.freeSockets[name] ?? [])]) {
      if ((this.provenAt.get(socket) ?? 0) <= since) socket.destroy();
    }
  }
}
