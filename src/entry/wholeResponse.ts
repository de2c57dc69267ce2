/**
 * Buffers a response until it is complete, so that a truncated response never
 * reaches the caller.
 */
import type http from "node:http";

import type { RequestFailure } from "../shared/errors.js";

export interface WholeResponse {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
}

export type ReadResult =
  | { kind: "whole"; answer: WholeResponse }
  | { kind: "failure"; failure: RequestFailure };

const truncatedFailure = (): RequestFailure => ({
  status: 502,
  code: "cut",
  message: "the answer was cut before its end",
  verdict: "may-have-run",
});

const tooLargeFailure = (maxBytes: number): RequestFailure => ({
  status: 502,
  code: "answer_too_large",
  message: `the answer is over ${maxBytes} bytes`,
  verdict: "ran",
});

/** Reads a response to its end; fails if it is truncated or over `maxBytes`. */
export const readWholeResponse = (
  res: http.IncomingMessage,
  maxBytes: number,
): Promise<ReadResult> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    res.on("data", (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= maxBytes) return;
      resolve({ kind: "failure", failure: tooLargeFailure(maxBytes) });
      res.destroy();
    });
    res.on("error", () => undefined);
    res.on("close", () => {
      if (!res.complete)
        return resolve({ kind: "failure", failure: truncatedFailure() });
      const answer: WholeResponse = {
        status: res.statusCode ?? 0,
        headers: res.headers,
        body: Buffer.concat(chunks),
      };
      resolve({ kind: "whole", answer });
    });
  });
