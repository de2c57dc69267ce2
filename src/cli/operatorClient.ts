/** Client for the operators' server of an entry. */
import { exchange } from "../http/index.js";
import type { OperatorAnswer } from "../operator/operatorServer.js";

const TIMEOUT_MS = 15_000;

export interface OperatorTarget {
  /** "IP:port" of an entry's operators' server. */
  entry: string;
  token: string;
  operator: string;
}

/** Sends a statement or a configuration; rejects if the entry doesn't respond. */
export const sendToEntry = async (
  target: OperatorTarget,
  path: "/command" | "/config",
  text: string,
): Promise<OperatorAnswer> => {
  const answer = await exchange({
    method: "POST",
    url: `http://${target.entry}${path}`,
    headers: {
      authorization: `Bearer ${target.token}`,
      "x-operator": target.operator,
      "content-type": "text/plain",
    },
    text,
    timeoutMs: TIMEOUT_MS,
  });
  return JSON.parse(answer.text) as OperatorAnswer;
};
