export { startGateway } from "./gatewayDaemon.js";
export type { GatewaySettings } from "./gatewayDaemon.js";
export type { GatewayDependencies } from "./gatewayDependencies.js";
export type { RetryLimits } from "./retryBudgets.js";
export { startScheduler } from "./schedulerDaemon.js";
export type { SchedulerSettings } from "./schedulerDaemon.js";
export type { GatewaySource } from "./gatewayState.js";
export type {
  FailureAnswer,
  ReplicaCall,
  RequestCodec,
} from "./requestCodec.js";
export type {
  EngineReport,
  GatewayConfig,
  GatewayService,
  InboundHead,
  PromptShape,
  PrefillHandle,
  Replica,
  ReplicaSignal,
  ReplyHead,
  Resumption,
  Route,
  UpstreamSend,
} from "./types.js";
