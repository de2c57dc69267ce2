/** Types of the operators' commands. */
import type { ConfigKeeper, Service, Upstream } from "../config/index.js";
import type { ControlStore } from "../control/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerLink } from "../peers/index.js";
import type { Row, Statement } from "../query/index.js";
import type { RolePlan } from "../roles/index.js";
import type { Router } from "../routing/index.js";
import type { BudgetedStore } from "../store/index.js";
import type { Metrics } from "../telemetry/index.js";

/** Dependencies available to commands. */
export interface OperatorContext {
  keeper: ConfigKeeper;
  control: ControlStore;
  store: BudgetedStore;
  router: Router;
  membership: Membership;
  metrics: Metrics;
  link: PeerLink;
  /** Latest role plan of a service; undefined if this entry made none. */
  planOf: (service: string) => RolePlan | undefined;
  now: () => number;
  /** Name of the operator. */
  by: string;
}

/** Result of a command. */
export type ActionResult =
  | { kind: "table"; columns: readonly string[]; rows: Row[] }
  | { kind: "message"; text: string; order?: string }
  /** Refused, or in conflict with another operator's command. */
  | { kind: "refused"; text: string };

/** A command of the statement language; each has its own file. */
export interface Action {
  /** The verb that selects it. */
  name: string;
  /** Related words, by which an unknown verb suggests this command. */
  keywords: readonly string[];
  /** Syntax of the command. */
  usage: string;
  example: string;
  perform(ctx: OperatorContext, statement: Statement): Promise<ActionResult>;
}

/** A table for the `show` command. */
export interface View {
  name: string;
  columns: readonly string[];
  rows(ctx: OperatorContext): Promise<Row[]>;
}

/** An upstream with the service that declares it. */
export interface FoundUpstream {
  service: Service;
  upstream: Upstream;
}
