// The query and command language. One statement: a verb, bare words, options
// such as "to decode", and conditions after "where".
{{
  const OPTIONS = ["to", "on", "of", "at", "in", "share", "class"];
}}

Statement
  = _ verb:Word items:(__ @Item)* _ {
      const words = [];
      const options = {};
      const where = [];
      for (const item of items) {
        if (item.kind === "where") where.push(...item.conditions);
        else if (item.kind === "option") options[item.name] = item.value;
        else words.push(item.value);
      }
      return { verb: verb.text.toLowerCase(), words, options, where };
    }

Item
  = "where"i __ first:Condition rest:(__ "and"i __ @Condition)* {
      return { kind: "where", conditions: [first, ...rest] };
    }
  / name:OptionName __ value:Value {
      return { kind: "option", name, value };
    }
  / !"where"i value:Value { return { kind: "word", value }; }

OptionName "an option (to, on, of, at, in, share, class)"
  = word:$[a-z]i+ &{ return OPTIONS.includes(word.toLowerCase()); } {
      return word.toLowerCase();
    }

Condition
  = field:Word _ operator:Operator _ value:Value {
      return { field: field.text.toLowerCase(), operator, value };
    }

Operator "a comparison (=, !=, <=, >=, <, >, ~)"
  = "!=" / "<=" / ">=" / "=" / "<" / ">" / "~"

Value
  = Quoted / Word

Quoted "a quoted text"
  = '"' text:$[^"]* '"' { return { text, at: range().start }; }

Word "a word"
  = text:$[A-Za-z0-9._/@%:-]+ { return { text, at: range().start }; }

_ = [ \t\r\n]*
__ "a space" = [ \t\r\n]+
