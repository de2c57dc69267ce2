/** Generates the settings reference from the schema descriptions. */
import { z } from "zod/v4";

import { entrySchema, sideSchema } from "./schema.js";

interface JsonSchema {
  type?: string;
  description?: string;
  default?: unknown;
  enum?: unknown[];
  const?: unknown;
  properties?: Record<string, JsonSchema>;
  required?: string[];
}

const rowsOf = (schema: JsonSchema, prefix: string): string[] => {
  const rows: string[] = [];
  for (const [name, field] of Object.entries(schema.properties ?? {})) {
    const path = prefix + name;
    const kind = field.enum?.join(" / ") ?? field.const ?? field.type ?? "";
    const isRequired = schema.required?.includes(name) ?? false;
    const fallback =
      field.default === undefined
        ? isRequired
          ? "needed"
          : "none"
        : JSON.stringify(field.default);
    const isGroup = field.properties !== undefined;
    rows.push(
      `| ${path} | ${String(kind)} | ${isGroup ? "" : fallback} | ` +
        `${field.description ?? ""} |`,
    );
    rows.push(...rowsOf(field, `${path}.`));
  }
  return rows;
};

/** Returns the settings of both roles as Markdown tables. */
export const settingsReference = (): string => {
  const sections = [
    ["entry", entrySchema],
    ["side", sideSchema],
  ] as const;
  const parts = sections.map(([role, schema]) => {
    const json = z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
    const head = `## Role \`${role}\`\n\n| setting | kind | default | what it is |\n| --- | --- | --- | --- |\n`;
    return `${head}${rowsOf(json, "").join("\n")}\n`;
  });
  return parts.join("\n");
};
