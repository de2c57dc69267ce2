/** Helpers for Node's `http` server. */
import type http from "node:http";
import type { AddressInfo, Server } from "node:net";

import type { Cancellation } from "../shared/cancellation.js";
import { ByteBlocks } from "../shared/byteBlocks.js";

/** Splits "IP:port"; removes the brackets of an IPv6 address. */
export const splitAddress = (text: string): { host: string; port: number } => {
  const at = text.lastIndexOf(":");
  const host = text.slice(0, at).replace(/[[\]]/g, "");
  return { host, port: Number(text.slice(at + 1)) };
};

/** Starts listening; resolves with the bound address, as "IP:port". */
export const listen = (server: Server, address: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    server.once("error", reject);
    server.listen(port, host, () => {
      server.removeListener("error", reject);
      const info = server.address() as AddressInfo;
      resolve(`${info.address}:${info.port}`);
    });
  });

/** Thrown if a request body exceeds the limit. */
export class BodyTooLargeError extends Error {}

export interface ReadBodyOptions {
  /** Called for each chunk with its size and that of the body so far, bytes. */
  onChunk?(chunkBytes: number, bodyBytes: number): void;
  /** Ends the reading, which then rejects with `Error`. */
  cancellation?: Cancellation;
}

/**
 * Buffers a request body. Rejects with `BodyTooLargeError` above `maxBytes`,
 * and with `Error` if the connection closes early. What comes after that is
 * left to the caller.
 */
export const readBody = (
  req: http.IncomingMessage,
  maxBytes: number,
  { onChunk, cancellation }: ReadBodyOptions = {},
): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const sent = req.headers["content-length"];
    const length = sent === undefined ? undefined : Number(sent);
    if (length !== undefined && length > maxBytes)
      return reject(tooLarge(maxBytes));
    const received = new ByteBlocks();
    const fail = (err: Error) => {
      req.off("data", onData);
      // The listeners below outlive the reading.
      received.clear();
      reject(err);
    };
    const onData = (chunk: Buffer) => {
      const size = received.size + chunk.length;
      if (size > maxBytes) return fail(tooLarge(maxBytes));
      received.append(chunk);
      onChunk?.(chunk.length, size);
    };
    req.on("data", onData);
    cancellation?.onCancel(() => fail(new Error("reading was cancelled")));
    req.once("end", () => resolve(received.take()));
    req.once("error", fail);
    req.once("close", () => {
      if (!req.complete) fail(new Error("body was cut"));
    });
  });

const tooLarge = (maxBytes: number): Error =>
  new BodyTooLargeError(`body is over ${maxBytes} bytes`);

/** Sends a JSON response unless headers were sent or the socket is closed. */
export const sendJson = (
  res: http.ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void => {
  if (res.headersSent || res.destroyed) return;
  const body = JSON.stringify(value);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...headers,
  });
  res.end(body);
};
