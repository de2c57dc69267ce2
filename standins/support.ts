/** Helpers for stand-in processes: options, HTTP server, responses. */
import http from "node:http";

import { listen, readBody } from "../src/http/index.js";

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Reads options from the first command line argument, a JSON object. */
export const readOptions = <T extends object>(defaults: T): T => {
  const text = process.argv[2];
  const given = text === undefined ? {} : (JSON.parse(text) as Partial<T>);
  return { ...defaults, ...given };
};

/** A request whose body has been read. */
export interface Call {
  req: http.IncomingMessage;
  res: http.ServerResponse;
  method: string;
  url: URL;
  body: Buffer;
}

/** Sends a JSON response, unless the connection is closed. */
export const reply = (
  res: http.ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void => {
  if (res.destroyed) return;
  const text = JSON.stringify(value);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
};

/**
 * Serves on the address, by default a free port, and prints the bound address
 * as a JSON line. If `handle` throws, the connection is closed.
 */
export const serve = async (
  handle: (call: Call) => Promise<void> | void,
  address = "127.0.0.1:0",
): Promise<http.Server> => {
  const onRequest = async (
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ) => {
    try {
      const body = await readBody(req, MAX_BODY_BYTES);
      const url = new URL(req.url ?? "/", "http://localhost");
      await handle({ req, res, method: req.method ?? "GET", url, body });
    } catch {
      res.destroy();
    }
  };
  const server = http.createServer((req, res) => void onRequest(req, res));
  server.keepAliveTimeout = 60_000;
  const listenAddress = await listen(server, address);
  process.stdout.write(`${JSON.stringify({ listening: listenAddress })}\n`);
  return server;
};
