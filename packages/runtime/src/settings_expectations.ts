/** Describes what a settings schema expects at a key, for fault messages. */
import {z} from 'zod';

/** The subset of JSON Schema that is used here. */
interface SchemaNode {
  readonly description?: string;
  readonly type?: string;
  readonly enum?: readonly unknown[];
  readonly const?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
}

/** Looks up expectations of a settings schema by the path of a key. */
export class SettingsSchemaReader {
  private constructor(private readonly root: SchemaNode) {}

  static create(schema: z.ZodType): SettingsSchemaReader {
    const json = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'});
    return new SettingsSchemaReader(json as SchemaNode);
  }

  /** Lists the keys allowed at a path; empty if it isn't a mapping. */
  listKeys(path: ReadonlyArray<string | number>): string[] {
    return Object.keys(this.findNode(path)?.properties ?? {});
  }

  /**
   * Describes the expected value: the schema's own description if it has one,
   * else the allowed values, type or keys.
   */
  describeExpected(path: ReadonlyArray<string | number>): string {
    const node = this.findNode(path);
    if (node?.description !== undefined) return node.description;
    if (node?.const !== undefined) return String(node.const);
    if (node?.enum !== undefined) return node.enum.join(' or ');
    if (node?.properties === undefined) return node?.type ?? 'another value';
    return `a mapping of ${Object.keys(node.properties).join(', ')}`;
  }

  private findNode(
    path: ReadonlyArray<string | number>,
  ): SchemaNode | undefined {
    let node: SchemaNode | undefined = this.root;
    for (const part of path) {
      node = typeof part === 'number' ? node?.items : node?.properties?.[part];
    }
    return node;
  }
}
