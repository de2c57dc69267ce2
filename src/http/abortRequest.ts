/** Gives up a request for good: what is still on its way is discarded. */
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

const aborted = new WeakSet<ClientRequest>();

/** Whether this process ended the request, not its peer. */
export const isAborted = (req: ClientRequest): boolean => aborted.has(req);

/**
 * Resets the connection. After a regular close the kernel goes on sending what
 * is unacknowledged, so that a peer that was cut off receives the request later.
 */
export const abortRequest = (req: ClientRequest, why: string): void => {
  if (req.destroyed) return;
  aborted.add(req);
  resetConnection(req.socket);
  req.destroy(new Error(why));
};

/** A connection that is not up yet has carried nothing, and is closed only. */
export const resetConnection = (socket: Socket | null): void => {
  if (socket === null || socket.connecting) socket?.destroy();
  else socket.resetAndDestroy();
};
