/**
 * Looks up the upstreams and services that a statement names. Throws a
 * StatementError with the existing names if there is no match.
 */
import type { Config, Service } from "../config/index.js";
import { StatementError } from "../query/index.js";
import type { ParsedValue, Statement } from "../query/index.js";
import type { FoundUpstream, OperatorContext } from "./types.js";

const MAX_LISTED = 12;

const formatNames = (names: string[]): string => {
  const shown = names.slice(0, MAX_LISTED).join(", ");
  return names.length > MAX_LISTED ? `${shown}, ...` : shown;
};

export const currentConfig = (ctx: OperatorContext): Config => {
  const state = ctx.keeper.current;
  if (state === undefined) throw new StatementError("no configuration yet", 0);
  return state.config;
};

/**
 * Returns the word at `index`; throws a StatementError with `expected` if it is
 * missing.
 */
export const requireWord = (
  statement: Statement,
  index: number,
  expected: string,
): ParsedValue => {
  const word = statement.words[index];
  if (word !== undefined) return word;
  throw new StatementError(`expected ${expected}`, endOf(statement));
};

export const requireOption = (
  statement: Statement,
  name: string,
  expected: string,
): ParsedValue => {
  const value = statement.options[name];
  if (value !== undefined) return value;
  throw new StatementError(`expected "${name}" ${expected}`, endOf(statement));
};

/** Position after the last word or option of a statement. */
const endOf = (statement: Statement): number => {
  const values = [...statement.words, ...Object.values(statement.options)];
  const ends = values.map((value) => value.at + value.text.length);
  return Math.max(statement.verb.length, ...ends);
};

export const findUpstream = (
  ctx: OperatorContext,
  { text, at }: ParsedValue,
): FoundUpstream => {
  const all: string[] = [];
  for (const service of currentConfig(ctx).services) {
    for (const upstream of service.upstreams) {
      if (upstream.id === text) return { service, upstream };
      all.push(upstream.id);
    }
  }
  throw new StatementError(
    `no engine "${text}"; there are ${formatNames(all)}`,
    at,
  );
};

export const findService = (
  ctx: OperatorContext,
  { text, at }: ParsedValue,
): Service => {
  const { services } = currentConfig(ctx);
  const found = services.find((service) => service.name === text);
  if (found !== undefined) return found;
  const names = formatNames(services.map((service) => service.name));
  throw new StatementError(`no service "${text}"; there are ${names}`, at);
};
