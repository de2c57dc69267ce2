/** Converts shares and counts of refused requests to and from messages. */
import type {
  FlowRefusals as FlowRefusalsMessage,
  FlowShareNews,
} from "../gen/snowgate.js";
import type { FlowKey, FlowRefusals, FlowShare } from "../scheduling/index.js";
import { toUint32 } from "./messages.js";

const toFlowFields = ({ route, workspace, priority }: FlowKey): FlowKey => ({
  route,
  workspace,
  priority: toUint32(priority),
});

export const toFlowShareNews = ({ flow, admit }: FlowShare): FlowShareNews => ({
  ...toFlowFields(flow),
  admit,
});

/** Undefined for a share that is not a number; the flow has no limit then. */
export const fromFlowShareNews = ({
  admit,
  ...flow
}: FlowShareNews): FlowShare | undefined =>
  Number.isNaN(admit)
    ? undefined
    : { flow, admit: Math.min(1, Math.max(0, admit)) };

export const toFlowRefusals = ({
  flow,
  requests,
}: FlowRefusals): FlowRefusalsMessage => ({
  ...toFlowFields(flow),
  requests: toUint32(requests),
});

export const fromFlowRefusals = ({
  requests,
  ...flow
}: FlowRefusalsMessage): FlowRefusals => ({ flow, requests });
