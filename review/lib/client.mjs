/** Stand-in for a client: sends one request, and reads the answer. */
import http from "node:http";

import { splitAddress } from "./http.mjs";

/**
 * Resolves with `status` (0: no answer), `body`, and `isWhole`: the answer
 * ended as a complete one. A client that is given `waitMs` leaves after it.
 */
export const send = (
  address,
  { path, method = "POST", headers, body = "", waitMs },
) =>
  new Promise((resolve) => {
    const chunks = [];
    const req = http.request({
      ...splitAddress(address),
      method,
      path,
      headers: { ...headers, "Content-Length": Buffer.byteLength(body) },
      agent: false,
    });
    const leave = () => req.destroy(new Error("the client left"));
    const timer = waitMs === undefined ? undefined : setTimeout(leave, waitMs);
    req.on("error", (err) => {
      clearTimeout(timer);
      resolve({ status: 0, why: err.message });
    });
    req.on("response", (res) => {
      clearTimeout(timer);
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", () => undefined);
      res.on("close", () =>
        resolve({
          status: res.statusCode,
          headers: res.headers,
          body: Buffer.concat(chunks).toString(),
          isWhole: res.complete,
        }),
      );
    });
    req.end(body);
  });

export const HOST = "callers.example";

/** Headers of a request to the model service. */
export const modelHeaders = (id, deadlineMs) => ({
  Host: HOST,
  "Request-Id": id,
  Model: "m",
  "Token-Count": "9190,80",
  "Prefix-Hash": `5c1e07a2:2520,91bd3f06:3780,${id}:2890`,
  "Deadline-Ms": String(deadlineMs),
});
