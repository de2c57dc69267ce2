/**
 * What a peer may send instead of an answer: informational answers (1xx), a
 * switch of protocols, or a status that is none.
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

import { abortRequest, resetConnection } from "./abortRequest.js";

/** Informational answers (1xx) to one request; more than these are no answer. */
const MAX_INFORMATIONAL = 16;
/** Statuses of final answers, RFC 9110, section 15. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

const isFinalStatus = (status: number): boolean =>
  status >= MIN_STATUS && status <= MAX_STATUS;

/**
 * Calls `onAnswer` with the head of the answer. The request fails, and its
 * connection is reset, at what is no answer.
 */
export const receiveAnswer = (
  req: ClientRequest,
  onAnswer: (res: IncomingMessage) => void,
): void => {
  let informational = 0;
  req.on("information", () => {
    informational += 1;
    if (informational > MAX_INFORMATIONAL)
      abortRequest(req, "too many informational answers");
  });
  // Node has detached the socket by then, and reports its end no more.
  req.once("upgrade", (_res, socket) => {
    resetConnection(socket as Socket);
    req.emit("error", new Error("the answer switches protocols"));
  });
  req.once("response", (res) => {
    const { statusCode = 0 } = res;
    if (isFinalStatus(statusCode)) return onAnswer(res);
    const why = `the answer has status ${statusCode}`;
    abortRequest(req, why);
    // The end of a request with a response is reported to that only.
    req.emit("error", new Error(why));
  });
};
