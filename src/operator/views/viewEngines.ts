import type { Service, Upstream } from "../../config/index.js";
import { isOrderPending } from "../../control/index.js";
import type { ControlRecord, UpstreamStatus } from "../../control/index.js";
import type { Row } from "../../query/index.js";
import { parseSideReport } from "../../side/sideReport.js";
import type { OperatorContext, View } from "../types.js";

const COLUMNS = [
  "upstream",
  "service",
  "site",
  "vm",
  "state",
  "role",
  "in_flight",
  "queued",
  "order",
  "config",
] as const;

const orderText = (
  record: ControlRecord | undefined,
  status: UpstreamStatus | undefined,
  upstream: string,
): string => {
  const desired = record?.desired[upstream];
  if (desired === undefined) return "";
  const { seq, action } = desired.order;
  const value = "value" in action ? ` ${action.value}` : "";
  const phase = isOrderPending(desired, status)
    ? "open"
    : (status?.phase ?? "");
  return `${seq} ${action.kind}${value} ${phase}`;
};

/** Fetches the state from the side, as an entry's own view is less exact. */
const rowOf = async (
  ctx: OperatorContext,
  service: Service,
  upstream: Upstream,
  order: string,
): Promise<Row> => {
  const { id, site, vm, peerAddress } = upstream;
  const base = { upstream: id, service: service.name, site, vm, order };
  try {
    const { json } = await ctx.link.report(peerAddress);
    const report = parseSideReport(json);
    return {
      ...base,
      state: report.state,
      role: report.role,
      in_flight: report.inFlight,
      queued: report.queued,
      config: report.configNumber,
    };
  } catch {
    const state = ctx.membership.get(id)?.state ?? "unknown";
    const shown = state === "alive" ? "unreachable" : state;
    return { ...base, state: shown, role: "", in_flight: "", queued: "" };
  }
};

/** All upstreams with their exact states. */
export const viewEngines: View = {
  name: "engines",
  columns: COLUMNS,
  rows: async (ctx) => {
    const services = ctx.keeper.current?.config.services ?? [];
    let statuses = new Map<string, UpstreamStatus>();
    const records = new Map<string, ControlRecord>();
    try {
      statuses = await ctx.control.listStatus();
      for (const { name } of services) {
        records.set(name, (await ctx.control.readControl(name)).value);
      }
    } catch {
      // If the object API is unavailable, states are shown without orders.
    }
    const rows = services.flatMap((service) =>
      service.upstreams.map((upstream) => {
        const record = records.get(service.name);
        const status = statuses.get(upstream.id);
        const order = orderText(record, status, upstream.id);
        return rowOf(ctx, service, upstream, order);
      }),
    );
    return Promise.all(rows);
  },
};
