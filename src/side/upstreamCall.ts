/** Sends a request from a side to its upstream. */
import http from "node:http";

import {
  abortRequest,
  forwardedHeaders,
  receiveAnswer,
} from "../http/index.js";
import { HEADERS } from "../shared/constants.js";
import type { RequestFailure } from "../shared/errors.js";
import { errText } from "../shared/utils.js";
import { mismatchedResponse, connectionLost, unreachable } from "./failures.js";

/** Internal headers that are passed to the upstream. */
const UPSTREAM_HEADERS: readonly string[] = [
  HEADERS.urgency,
  HEADERS.resumeFrom,
  HEADERS.deadline,
  HEADERS.kvExport,
  HEADERS.kvImport,
];

/** Result of a call: the head of the response, or a failure. */
export type UpstreamResult =
  | { kind: "response"; res: http.IncomingMessage; req: http.ClientRequest }
  | { kind: "failure"; failure: RequestFailure };

export interface UpstreamCallOptions {
  url: string;
  agent: http.Agent;
  req: http.IncomingMessage;
  body: Buffer;
  requestId: string;
  echoesRequestId: boolean;
  /** Called with the request to the upstream, so that it can be cancelled. */
  onRequest: (req: http.ClientRequest) => void;
}

/** Sends the request and waits for the head of the response. */
export const callUpstream = (
  options: UpstreamCallOptions,
): Promise<UpstreamResult> =>
  new Promise((resolve) => {
    const { url, agent, req, body, requestId } = options;
    const upstreamReq = http.request(url + (req.url ?? "/"), {
      method: req.method ?? "GET",
      agent,
      headers: {
        ...forwardedHeaders(req.headers, (name) =>
          UPSTREAM_HEADERS.includes(name),
        ),
        ...(body.length > 0 ? { "content-length": body.length } : {}),
      },
    });
    let isConnected = false;
    upstreamReq.on("socket", (socket) => {
      if (!socket.connecting) isConnected = true;
      else socket.once("connect", () => (isConnected = true));
    });
    upstreamReq.on("error", (err) => {
      const failure = isConnected
        ? connectionLost(errText(err))
        : unreachable(errText(err));
      resolve({ kind: "failure", failure });
    });
    receiveAnswer(upstreamReq, (res) => {
      const echoed = res.headers[HEADERS.requestId];
      if (options.echoesRequestId && echoed !== requestId) {
        abortRequest(upstreamReq, "the response is of another request");
        return resolve({ kind: "failure", failure: mismatchedResponse() });
      }
      resolve({ kind: "response", res, req: upstreamReq });
    });
    options.onRequest(upstreamReq);
    upstreamReq.end(body);
  });
