/** Reads and conditionally updates stored control records and statuses. */
import { randomUUID } from "node:crypto";

import { OrderError } from "../shared/errors.js";
import { ABSENT, confirmedWrite } from "../store/index.js";
import type { ObjectStore } from "../store/index.js";
import { giveOrder } from "./controlRecord.js";
import type { OrderAnswer, OrderRequest } from "./controlRecord.js";
import { CONTROL_KIND, EMPTY_CONTROL, STATUS_KIND } from "./types.js";
import type { ControlRecord, UpstreamStatus } from "./types.js";

/** Maximum attempts to write an order against concurrent writers. */
const MAX_ORDER_ATTEMPTS = 5;

/** A value with the version that a conditional update must expect. */
export interface Versioned<T> {
  value: T;
  version: number;
}

export class ControlStore {
  constructor(private readonly store: ObjectStore) {}

  async readControl(service: string): Promise<Versioned<ControlRecord>> {
    const found = await this.store.get<ControlRecord>(CONTROL_KIND, service);
    return {
      value: found?.value ?? EMPTY_CONTROL,
      version: found?.version ?? ABSENT,
    };
  }

  async readStatus(
    upstream: string,
  ): Promise<Versioned<UpstreamStatus> | undefined> {
    return this.store.get<UpstreamStatus>(STATUS_KIND, upstream);
  }

  async listStatus(): Promise<Map<string, UpstreamStatus>> {
    const items = await this.store.list<UpstreamStatus>(STATUS_KIND);
    return new Map(items.map((item) => [item.name, item.value]));
  }

  /** Returns the new version, or undefined if another writer was faster. */
  async writeControl(
    service: string,
    record: ControlRecord,
    expected: number,
  ): Promise<number | undefined> {
    return this.write(CONTROL_KIND, service, record, expected);
  }

  /** Returns the new version, or undefined if another writer was faster. */
  async writeStatus(
    upstream: string,
    status: UpstreamStatus,
    expected: number,
  ): Promise<number | undefined> {
    return this.write(STATUS_KIND, upstream, status, expected);
  }

  /**
   * Gives an operator's order. After a write conflict it retries on the newest
   * record; throws OrderError after `MAX_ORDER_ATTEMPTS` conflicts.
   */
  async order(service: string, request: OrderRequest): Promise<OrderAnswer> {
    for (let attempt = 0; attempt < MAX_ORDER_ATTEMPTS; attempt += 1) {
      const control = await this.readControl(service);
      const given = control.value.desired[request.upstream]?.order;
      // This order was written already: the reply was lost, and another writer
      // has updated the record since.
      if (given?.id === request.id) {
        return { kind: "accepted", record: control.value, order: given };
      }
      const status = await this.readStatus(request.upstream);
      const answer = giveOrder(control.value, status?.value, request);
      if (answer.kind !== "accepted") return answer;
      const version = await this.writeControl(
        service,
        answer.record,
        control.version,
      );
      if (version !== undefined) return answer;
    }
    throw new OrderError("too many writers; nothing was changed");
  }

  private async write<T>(
    kind: string,
    name: string,
    value: T,
    expected: number,
  ): Promise<number | undefined> {
    const result = await confirmedWrite<T>(
      this.store,
      kind,
      name,
      value,
      expected,
      randomUUID(),
    );
    switch (result.kind) {
      case "written":
        return result.version;
      case "conflict":
        return undefined;
      default:
        throw new OrderError(`object API: ${result.why}`);
    }
  }
}
