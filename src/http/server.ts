/** Helpers for Node's `http` server. */
import type http from "node:http";
import type { AddressInfo, Server } from "node:net";

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

/**
 * Buffers a request body. Rejects with `BodyTooLargeError` above `maxBytes`,
 * and with `Error` if the connection closes early.
 */
export const readBody = (
  req: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        req.pause();
        reject(new BodyTooLargeError(`body is over ${maxBytes} bytes`));
        return;
      }
      chunks.push(chunk);
    });
    req.on("end", () => resolve(Buffer.concat(chunks)));
    req.on("error", reject);
    req.on("close", () => {
      if (!req.complete) reject(new Error("body was cut"));
    });
  });

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
