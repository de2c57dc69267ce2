/** Shapes of the operators' commands. */
import type { ConfigKeeper, Service, Upstream } from "../config/index.js";
import type { ControlStore } from "../control/index.js";
import type { Membership } from "../membership/index.js";
import type { PeerLink } from "../peers/index.js";
import type { Row, Statement } from "../query/index.js";
import type { RolePlan } from "../roles/index.js";
import type { Router } from "../routing/index.js";
import type { BudgetedStore } from "../store/index.js";
import type { Metrics } from "../telemetry/index.js";

/** What commands may use. */
export interface OperatorContext {
  keeper: ConfigKeeper;
  control: ControlStore;
  store: BudgetedStore;
  router: Router;
  membership: Membership;
  metrics: Metrics;
  link: PeerLink;
  /** The newest plan of roles, where this entry made one. */
  planOf: (service: string) => RolePlan | undefined;
  now: () => number;
  /** Who gives the command. */
  by: string;
}

/** What a command gives back. */
export type ActionResult =
  | { kind: "table"; columns: readonly string[]; rows: Row[] }
  | { kind: "message"; text: string; order?: string }
  /** Refused, or lost against another operator. */
  | { kind: "refused"; text: string };

/** One command of the language; each stands in a file of its own. */
export interface Action {
  /** The verb that it is called by. */
  name: string;
  /** Words that lead a searching operator to it. */
  keywords: readonly string[];
  /** How it is written. */
  usage: string;
  example: string;
  perform(ctx: OperatorContext, statement: Statement): Promise<ActionResult>;
}

/** One table that `show` knows. */
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
